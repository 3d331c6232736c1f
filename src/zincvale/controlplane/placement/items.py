"""Table of models and adapters: what can be loaded."""

from __future__ import annotations

import enum
from typing import NewType

import attrs

from zincvale.controlplane.placement.demand import DecayedCount, Demand
from zincvale.model.identifiers import PoolName, ServerId, StoreName
from zincvale.model.resources import Stake

ItemKey = NewType("ItemKey", str)
"""`model/NAME` or `adapter/NAME`."""

MISSED_HALF_LIFE_S = 5.0
"""Requests that found no replica count as waiting for about this long."""


class ItemKind(enum.Enum):
    """What an item is."""

    MODEL = "model"
    ADAPTER = "adapter"


def model_key(name: str) -> ItemKey:
    """Return the key of a base model."""
    return ItemKey(f"model/{name}")


def adapter_key(name: str) -> ItemKey:
    """Return the key of an adapter."""
    return ItemKey(f"adapter/{name}")


def is_adapter_key(key: ItemKey) -> bool:
    """Whether a key is an adapter's."""
    return key.startswith("adapter/")


@attrs.define(eq=False)
class ItemRow:
    """A model or adapter: its declaration, its demand and where it is.

    Dicts without values stand for sets: their order is the same in every run.

    Attributes
    ----------
    kv_bytes : KV cache kept on a server for it at least (models only).
    declared_load_s : of a load from the store, until one was seen; 0 when not declared.
    base : the adapter's base model.
    adapters : the model's declared adapters.
    holders : servers where it occupies memory, in any state.
    ready, loading : how many of the holders serve it, or load it, on servers in service; kept
        true by `PlacementState.recount`.
    planned : servers for which a load is planned but not ordered.
    missed : requests that came while no replica served.
    waiting : requests that wait for it at the nodes now.
    waiting_since : when `waiting` last left 0.
    running : requests that run on it now.
    desired : replicas desired at the last review.
    review_at : time of the pending review, infinity when none is pending.
    shortage_stamp : the valid entry of this item in its store's shortage queue, 0 for none.
    shortage_urgency : urgency of that entry.
    retry_at : no load of it is planned before, after a failed one.
    placement_retry_at : as `retry_at`, after no server was found; does not hold for waiting
        requests.
    unplaced_logged_at : when it was last logged that nothing fits.
    failures : failed loads in a row.
    rate, rate_at : requests per second last expected, and when; see `replica_value.expected_rate`.
    """

    key: ItemKey
    kind: ItemKind
    name: str
    weight_bytes: int
    store: StoreName
    pool: PoolName
    demand: Demand
    kv_bytes: int = 0
    base: ItemKey | None = None
    min_replicas: int = 0
    declared_load_s: float = 0.0
    stake: Stake = Stake.NORMAL
    adapters: dict[ItemKey, None] = attrs.field(factory=dict)
    holders: dict[ServerId, None] = attrs.field(factory=dict)
    ready: int = 0
    loading: int = 0
    planned: dict[ServerId, None] = attrs.field(factory=dict)
    missed: DecayedCount = attrs.field(factory=lambda: DecayedCount(MISSED_HALF_LIFE_S))
    waiting: int = 0
    waiting_since: float = 0.0
    running: int = 0
    concurrency: float = 0.0
    concurrency_at: float = 0.0
    desired: int = 0
    review_at: float = float("inf")
    shortage_stamp: int = 0
    shortage_urgency: int = 0
    retry_at: float = 0.0
    placement_retry_at: float = 0.0
    unplaced_logged_at: float = float("-inf")
    rate: float = 0.0
    rate_at: float = -1.0
    failures: int = 0
