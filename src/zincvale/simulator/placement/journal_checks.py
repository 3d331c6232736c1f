"""Compares an emulator journal with the limits of servers and stores."""

from __future__ import annotations

from zincvale.simulator.placement.fleet import Fleet, JournalRow

RESTARTS = frozenset({"crash"})


def check_journal(fleet: Fleet) -> list[str]:
    """Return what the journal shows beyond a limit: memory, loads at once, use while unloading.

    An order counts in memory from its row on, whether or not the server took it.
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
            case event if event in RESTARTS:
                for name in loading[row.server]:
                    pulls[fleet.items[name].store] -= 1
                loading[row.server].clear()
                reserved_bytes[row.server].clear()
    return problems


def check_ordered_rate(fleet: Fleet, burst_s: float) -> list[str]:
    """Return stores from which more bytes were ordered over some time than their rate allows.

    Over any time the bytes ordered may exceed the rate by one item and `burst_s` of the rate, and
    by the share of small items while a large one is owed (bounded by one more item).
    """
    problems = []
    largest = max(item.item_bytes for item in fleet.items.values())
    for store in fleet.stores.values():
        allowed = 2 * largest + burst_s * store.bytes_per_second
        owed = 0.0
        last = 0.0
        for row in fleet.journal:
            if row.event != "order-load" or row.store != store.name:
                continue
            owed = max(owed - (row.at - last) * store.bytes_per_second, 0.0) + row.item_bytes
            last = row.at
            if owed > allowed:
                problems.append(f"{row.at:.1f} s: {owed / 1e9:.1f} GB owed by {store.name}")
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
