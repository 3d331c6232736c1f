"""A bound on how long an item that is requested again and again stays unserved.

Loads for requests are planned by what they are worth. By worth alone, an item with few requests
could be passed over for ever. So each unserved item has a turn: after a round without service it is
due. Items that are due go first, the longest unserved before the others, and a load in its turn
need not be worth more than what leaves for it. The replica that was loaded in a turn stays until it
has served a request, or until it should have.

A round is the time in which the servers of a pool could load each of its unserved items once. So an
item is due after one round, and after another one the items that became due before it have had
their turns. The bound follows from the number of unserved items, the servers and the load times. If
an item is still not served then, `report_unserved` says what keeps it.
"""

from __future__ import annotations

import math

from zincvale.controlplane.placement.items import ItemRow
from zincvale.controlplane.placement.state import PlacementState

MIN_REQUESTS = 2
"""An item that was requested once has no turn: nobody asked for it again."""
REQUESTS_AWAITED = 2
"""A replica that was loaded in a turn stays for as many mean intervals between two requests, but
not longer than a round."""
ROUNDS_UNTIL_SERVED = 2
"""An item is due after one round, and has its turn within another one."""


def round_s(placement: PlacementState, item: ItemRow, now: float) -> float:
    """Return the time in which the pool's servers could load each unserved item of a kind once.

    The last load of the round may wait for a load of model weights that its server executes before.
    """
    servers = max(1, len(placement.server_index.by_pool.get(item.pool, ())))
    unserved = placement.unserved.count_without_replica(placement.items, item.pool, item.kind, now)
    load_s = placement.expected_load_s(item)
    base = placement.items.get(item.base) if item.base is not None else None
    longest_s = load_s if base is None else placement.expected_load_s(base)
    return math.ceil(unserved / servers) * load_s + longest_s


def is_due(placement: PlacementState, item: ItemRow, now: float) -> bool:
    """Whether an item has been requested again and again, also lately, for a round in vain."""
    unserved = item.unserved
    if item.ready or unserved.requests < MIN_REQUESTS:
        return False
    if not item.waiting and not item.demand.is_recent(now):
        return False
    return now - unserved.since > round_s(placement, item, now)


def keep_for_turn(placement: PlacementState, item: ItemRow, now: float) -> None:
    """Let the replica of an item that was loaded in its turn stay until its next requests."""
    unserved = item.unserved
    if not unserved.is_in_turn:
        return
    unserved.is_in_turn = False
    mean_interval_s = (now - unserved.since) / max(unserved.requests, 1)
    limit_s = round_s(placement, item, now)
    unserved.keep_until = now + min(REQUESTS_AWAITED * mean_interval_s, limit_s)


def is_kept_for_turn(item: ItemRow, now: float) -> bool:
    """Whether the item's only replica must stay, because it has not served yet."""
    return item.ready <= 1 and now < item.unserved.keep_until
