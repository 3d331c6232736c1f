"""Invariant 11: no load order exceeds a server's memory, no store's limits are exceeded.

Nor is a cold server flooded with requests. A server's memory use includes what is loaded, and what
is reserved by an order that is not yet confirmed. A `cold` or `memory` refusal by a server is
itself a sign that the order or request should not have been sent.
"""

from __future__ import annotations

import attrs

from zincvale.fleet.invariants.evidence import Evidence, StoreLimit
from zincvale.fleet.invariants.findings import CheckResult
from zincvale.fleet.invariants.rows import (
    OrderRefused,
    OrderTaken,
    PullEnded,
    PullStarted,
    RequestRefused,
    ServerCrashed,
    ServerRow,
    ServerStarted,
    WeightsLoaded,
    WeightsUnloaded,
)

NUMBER = 11
TITLE = "no server over its memory, no store pulled too fast, no cold server flooded"

COLD_REFUSALS_ALLOWED = 3
"""Number of `cold` refusals allowed to one incarnation, as its state is observed with a delay."""
RATE_TOLERANCE = 1.1
"""Factor on the store's rate that allows for bytes in flight when a pull is journalled."""
SHORTEST_BUSY_PERIOD_S = 1.0
MEMORY_ERROR = "memory"
COLD_ERROR = "cold"


@attrs.define
class ServerMemory:
    """The memory of one server, and the size in bytes of all that it has or is to load, by name."""

    capacity_bytes: int = 0
    memory_bytes_by_name: dict[str, int] = attrs.field(factory=dict)
    cold_refusals: int = 0

    def restart(self, capacity_bytes: int) -> None:
        """Clear the loaded weights and the refusal count, as the server restarted empty."""
        self.capacity_bytes = capacity_bytes
        self.memory_bytes_by_name.clear()
        self.cold_refusals = 0


def check(evidence: Evidence) -> CheckResult:
    """Check the journals of the servers and stores against their memory and pull limits."""
    result = CheckResult(NUMBER, TITLE)
    _check_servers(evidence, result)
    _check_stores(evidence, result)
    return result


def _check_servers(evidence: Evidence, result: CheckResult) -> None:
    memory_by_server: dict[str, ServerMemory] = {}
    unsized = 0
    for row in _server_rows(evidence):
        memory = memory_by_server.setdefault(row.server_id, ServerMemory())
        match row:
            case ServerStarted():
                memory.restart(row.memory_bytes)
            case ServerCrashed():
                memory.restart(memory.capacity_bytes)
            case OrderRefused():
                _check_refused_order(result, row)
            case OrderTaken():
                unsized += not memory.capacity_bytes
                _record_order(result, memory, row)
            case WeightsLoaded():
                memory.memory_bytes_by_name[row.name] = (
                    row.bytes or memory.memory_bytes_by_name.get(row.name, 0)
                )
            case WeightsUnloaded():
                memory.memory_bytes_by_name.pop(row.name, None)
            case RequestRefused():
                _check_cold_refusal(result, memory, row)
    if unsized:
        result.not_checked.append(f"{unsized} orders went to servers that journal no memory size")


def _record_order(result: CheckResult, memory: ServerMemory, order: OrderTaken) -> None:
    result.facts += 1
    if "unload" in order.action:
        return
    memory.memory_bytes_by_name[order.name] = order.bytes
    total = sum(memory.memory_bytes_by_name.values())
    if memory.capacity_bytes and total > memory.capacity_bytes:
        result.add_breach(
            order.server_id,
            order.t,
            f"was ordered to load {order.name}: {total} bytes of {memory.capacity_bytes}",
        )


def _check_refused_order(result: CheckResult, order: OrderRefused) -> None:
    result.facts += 1
    if order.error == MEMORY_ERROR:
        result.add_breach(
            order.server_id, order.t, f"had no room for {order.name}, ordered to load it"
        )


def _check_cold_refusal(result: CheckResult, memory: ServerMemory, row: RequestRefused) -> None:
    if row.error != COLD_ERROR:
        return
    memory.cold_refusals += 1
    if memory.cold_refusals == COLD_REFUSALS_ALLOWED + 1:
        result.add_breach(
            row.server_id, row.t, f"refused more than {COLD_REFUSALS_ALLOWED} requests as cold"
        )


def _server_rows(evidence: Evidence) -> list[ServerRow]:
    kinds: tuple[type[ServerRow], ...] = (
        ServerStarted,
        ServerCrashed,
        OrderTaken,
        OrderRefused,
        WeightsLoaded,
        WeightsUnloaded,
        RequestRefused,
    )
    rows = [row for kind in kinds for row in evidence.rows_of(kind)]
    return sorted(rows, key=lambda row: row.t)


@attrs.define
class StoreUse:
    """Number of pulls in progress from one store, and bytes pulled since it was last idle."""

    pulls: int = 0
    busy_since: float = 0.0
    busy_bytes: int = 0


def _check_stores(evidence: Evidence, result: CheckResult) -> None:
    rows = sorted(
        [*evidence.rows_of(PullStarted), *evidence.rows_of(PullEnded)],
        key=lambda row: (row.t, isinstance(row, PullStarted)),
    )
    use_by_store: dict[str, StoreUse] = {}
    unknown: set[str] = set()
    for row in rows:
        limit = evidence.expectations.stores.get(row.store_id)
        if limit is None:
            unknown.add(row.store_id)
            continue
        use = use_by_store.setdefault(row.store_id, StoreUse())
        if isinstance(row, PullEnded):
            _end_pull(result, use, row, limit)
        else:
            _start_pull(result, use, row, limit)
    for store in sorted(unknown):
        result.not_checked.append(f"store {store!r} has no limits in the deployment")


def _start_pull(result: CheckResult, use: StoreUse, row: PullStarted, limit: StoreLimit) -> None:
    result.facts += 1
    if not use.pulls:
        use.busy_since = row.t
        use.busy_bytes = 0
    use.pulls += 1
    if use.pulls > limit.max_concurrent_loads:
        result.add_breach(
            row.store_id,
            row.t,
            f"{use.pulls} pulls at once, {limit.max_concurrent_loads} allowed; last: {row.puller}",
        )


def _end_pull(result: CheckResult, use: StoreUse, row: PullEnded, limit: StoreLimit) -> None:
    use.pulls = max(0, use.pulls - 1)
    use.busy_bytes += row.bytes
    if use.pulls:
        return
    duration_s = max(row.t - use.busy_since, SHORTEST_BUSY_PERIOD_S)
    if use.busy_bytes > limit.bytes_per_second * duration_s * RATE_TOLERANCE:
        rate = use.busy_bytes / duration_s
        result.add_breach(
            row.store_id,
            row.t,
            f"pulled at {rate:.0f} bytes/s, {limit.bytes_per_second} allowed",
        )
