"""Creates calendar rows for loads, whether planned or found in progress."""

from __future__ import annotations

import attrs

from zincvale.controlplane.placement.items import ItemRow
from zincvale.controlplane.placement.moves import (
    Move,
    MoveKind,
    MoveReason,
    MoveState,
    Reservation,
)
from zincvale.controlplane.placement.servers import ServerState
from zincvale.controlplane.placement.state import PlacementState
from zincvale.model.identifiers import MoveId

SLOTS_PER_LOAD = 1
"""Concurrent load slots of a server that one load takes.

Rows of the topic `moves` contain it, so all processes must use the same value."""


@attrs.frozen
class LoadPlan:
    """Why and when an item is loaded.

    Attributes
    ----------
    start_at : expected start in seconds on the controller's clock.
    after : moves that must be done before the load is ordered.
    """

    state: MoveState
    reason: MoveReason
    detail: str
    start_at: float
    after: tuple[MoveId, ...] = ()


def new_load(
    placement: PlacementState, server: ServerState, item: ItemRow, load_plan: LoadPlan, now: float
) -> Move:
    """Return a load with a new identifier; the caller adds it to the calendar."""
    store = placement.stores.get(item.store)
    return Move(
        move_id=placement.new_move_id(),
        kind=MoveKind.LOAD,
        state=load_plan.state,
        reason=load_plan.reason,
        detail=load_plan.detail,
        server=server.server,
        address=server.address,
        zone=server.zone,
        created_at=now,
        start_at=load_plan.start_at,
        expected_end=load_plan.start_at + placement.expected_load_s(item, server),
        item_kind=item.kind,
        name=item.name,
        base_model=base_model_name(item),
        store=item.store,
        reservation=Reservation(
            memory_bytes=item.weight_bytes,
            kv_bytes=item.kv_bytes,
            store_bytes_per_second=store.bytes_per_second if store is not None else 0,
            server_load_slots=SLOTS_PER_LOAD,
        ),
        after=load_plan.after,
    )


def base_model_name(item: ItemRow) -> str:
    """Return the name of an adapter's base model, empty for models."""
    return "" if item.base is None else item.base.removeprefix("model/")
