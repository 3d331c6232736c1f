"""Table of items: the models and adapters that can be loaded."""

from __future__ import annotations

import enum
from typing import NewType

import attrs

from zincvale.controlplane.placement.demand import Demand
from zincvale.controlplane.placement.unserved import UnservedDemand
from zincvale.model.identifiers import PoolName, ServerId, StoreName
from zincvale.model.resources import Stake

ItemKey = NewType("ItemKey", str)
"""Key of an item: `model/NAME` or `adapter/NAME`."""


class ItemKind(enum.Enum):
    """Kind of an item."""

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
    """A model or adapter: its declaration, its demand and its replicas.

    Dicts with None as values are used as sets, because their iteration order is deterministic.

    Attributes
    ----------
    kv_bytes : minimum memory for its KV cache on a server (models only).
    base : the adapter's base model; None for a model.
    declared_load_s : declared time of a load from the store, used until one was observed; 0 if not
        declared.
    adapters : the model's declared adapters.
    holders : servers on which it occupies memory, in any state.
    ready, loading : number of its replicas that are ready, or being loaded, on servers that serve
        requests; updated by `PlacementState.recount_replica`.
    planned : servers on which a load is planned but not yet ordered.
    unserved : the requests that came while no replica was ready, since it was last served.
    waiting : requests that wait for it at the nodes now.
    waiting_since : when `waiting` last rose from 0.
    running : requests that run on it now.
    concurrency, concurrency_at : moving average of its concurrent requests, and when it was last
        updated.
    desired : desired number of replicas at the last review.
    review_at : time of the scheduled review, infinity if none is scheduled.
    shortage_stamp : the valid entry of this item in its store's shortage queue, 0 for none.
    shortage_urgency : urgency of that entry.
    retry_at : after a failed load, no load of it is planned before this time.
    placement_retry_at : after no server was found, no load of it is planned before this time,
        except for waiting requests.
    unplaced_logged_at : when it was last logged that no server was found.
    rate, rate_at : last result of `replica_value.expected_rate`, and the time for which it holds.
    failures : number of consecutive failed loads.
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
    unserved: UnservedDemand = attrs.field(factory=UnservedDemand)
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
