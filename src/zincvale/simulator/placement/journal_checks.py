"""Compares the journal of an emulated run with the limits of servers and stores."""

from __future__ import annotations

from zincvale.simulator.placement.fleet import Fleet, JournalRow

CRASH_EVENTS = frozenset({"crash"})


def check_journal(fleet: Fleet) -> list[str]:
    """Return a message per violated limit: memory, concurrent loads, no unload of items in use.

    The memory of an ordered item counts from the order on, even if the server refused it.
    """
    problems: list[str] = []
    reserved_bytes: dict[str, dict[str, int]] = {name: {} for name in fleet.servers}
    loading: dict[str, set[str]] = {name: set() for name in fleet.servers}
    pulls: dict[str, int] = dict.fromkeys(fleet.stores, 0)
    for row in fleet.journal:
        match row.event:
            case "order-load":
                reserved_bytes[row.server].setdefault(row.name, row.item_bytes)
                problems.extend(_check_memory(fleet, row, reserved_bytes[row.server]))
            case "load-start":
                loading[row.server].add(row.name)
                pulls[row.store] += 1
                problems.extend(_check_loads(fleet, row, loading[row.server], pulls))
            case "loaded":
                loading[row.server].discard(row.name)
                pulls[row.store] -= 1
            case "unloaded":
                reserved_bytes[row.server].pop(row.name, None)
                if row.name in loading[row.server]:
                    loading[row.server].discard(row.name)
                    pulls[row.store] -= 1
            case "unload-in-use":
                problems.append(f"{row.at:.1f} s: {row.name} unloaded in use on {row.server}")
            case event if event in CRASH_EVENTS:
                for name in loading[row.server]:
                    pulls[fleet.items[name].store] -= 1
                loading[row.server].clear()
                reserved_bytes[row.server].clear()
    return problems


def check_ordered_rate(fleet: Fleet, burst_s: float) -> list[str]:
    """Return a message per order that exceeds the rate at which a store can send the ordered bytes.

    In any period the ordered bytes may exceed the rate by one item and by `burst_s` of the rate,
    and by small items that get their share while a large item still waits for its bytes; these
    are bounded by one more item.
    """
    problems = []
    largest = max(item.item_bytes for item in fleet.items.values())
    for store in fleet.stores.values():
        allowed = 2 * largest + burst_s * store.bytes_per_second
        backlog_bytes = 0.0
        last_at = 0.0
        for row in fleet.journal:
            if row.event != "order-load" or row.store != store.name:
                continue
            backlog_bytes = (
                max(backlog_bytes - (row.at - last_at) * store.bytes_per_second, 0.0)
                + row.item_bytes
            )
            last_at = row.at
            if backlog_bytes > allowed:
                problems.append(
                    f"{row.at:.1f} s: {backlog_bytes / 1e9:.1f} GB owed by {store.name}"
                )
    return problems


def _check_memory(fleet: Fleet, row: JournalRow, reserved_bytes: dict[str, int]) -> list[str]:
    limit = fleet.servers[row.server].weight_bytes
    used = sum(reserved_bytes.values())
    if used <= limit:
        return []
    return [f"{row.at:.1f} s: {row.server} ordered to hold {used} of {limit} bytes"]


def _check_loads(
    fleet: Fleet, row: JournalRow, loading: set[str], pulls: dict[str, int]
) -> list[str]:
    problems = []
    if len(loading) > fleet.servers[row.server].spec.max_loads:
        problems.append(f"{row.at:.1f} s: {len(loading)} loads at once on {row.server}")
    limit = fleet.stores[row.store].max_concurrent_loads
    if pulls[row.store] > limit:
        problems.append(f"{row.at:.1f} s: {pulls[row.store]} pulls at once from {row.store}")
    return problems
