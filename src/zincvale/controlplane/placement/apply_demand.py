"""Applies the demand reports of nodes to the tables."""

from __future__ import annotations

from zincvale.controlplane.placement.events import DemandReported, DemandRow, UseRow
from zincvale.controlplane.placement.items import ItemKey, ItemRow, adapter_key, model_key
from zincvale.controlplane.placement.prefetch import record_request
from zincvale.controlplane.placement.state import NodeDemand, PlacementState
from zincvale.model.identifiers import MemberId, ServerId

NODES_CHECK_INTERVAL_S = 1.0
"""Interval between two checks for nodes that stopped reporting.

It is also the longest time for which the requests of such a node count after its expiry."""


def apply_demand_report(placement: PlacementState, event: DemandReported, now: float) -> None:
    """Replace the waiting and running requests of one node and count its new requests."""
    waiting: dict[ItemKey, int] = {}
    for row in event.rows:
        _count_requests(placement, row, waiting, now)
    running: dict[tuple[ServerId, ItemKey], int] = {}
    for use in event.use:
        _count_running(placement, use, running)
    old_report = placement.nodes.get(event.node)
    _replace_report(placement, old_report, waiting, running, now)
    placement.nodes[event.node] = NodeDemand(now, waiting, running)


def expire_nodes(placement: PlacementState, now: float) -> None:
    """System: remove the waiting and running requests of nodes that stopped reporting."""
    if now < placement.nodes_checked_at + NODES_CHECK_INTERVAL_S:
        return
    placement.nodes_checked_at = now
    oldest = now - placement.config.demand_expiry_s
    expired = [node for node, row in placement.nodes.items() if row.reported_at < oldest]
    for node in expired:
        _remove_node(placement, node, now)


def _remove_node(placement: PlacementState, node: MemberId, now: float) -> None:
    _replace_report(placement, placement.nodes.pop(node), {}, {}, now)


def _count_requests(
    placement: PlacementState, row: DemandRow, waiting: dict[ItemKey, int], now: float
) -> None:
    keys = [model_key(row.model)]
    if row.adapter is not None:
        keys.append(adapter_key(row.adapter))
    for key in keys:
        item = placement.items.get(key)
        if item is None:
            continue
        if row.requests:
            is_first_request = item.demand.profile is None
            item.demand.add(row.requests, now, placement.config)
            record_request(placement, item, now)
            _count_unserved(placement, item, row.requests, now)
            if is_first_request or (item.desired and not item.holders):
                placement.queue_review(key)
        if row.waiting:
            waiting[key] = waiting.get(key, 0) + row.waiting


def _count_unserved(placement: PlacementState, item: ItemRow, requests: int, now: float) -> None:
    if item.ready:
        item.unserved.clear()
        placement.unserved.remove(item.key)
        return
    item.unserved.record(requests, now)
    placement.unserved.add(item.key)


def _count_running(
    placement: PlacementState, use: UseRow, running: dict[tuple[ServerId, ItemKey], int]
) -> None:
    keys = [model_key(use.model)]
    if use.adapter is not None:
        keys.append(adapter_key(use.adapter))
    for key in keys:
        if key not in placement.items or not use.running:
            continue
        pair = (use.server, key)
        running[pair] = running.get(pair, 0) + use.running


def _replace_report(
    placement: PlacementState,
    old_report: NodeDemand | None,
    waiting: dict[ItemKey, int],
    running: dict[tuple[ServerId, ItemKey], int],
    now: float,
) -> None:
    old_waiting = old_report.waiting if old_report is not None else {}
    old_running = old_report.running if old_report is not None else {}
    for key, count in waiting.items():
        _add_waiting(placement, key, count - old_waiting.get(key, 0), now)
    for key, count in old_waiting.items():
        if key not in waiting:
            _add_waiting(placement, key, -count, now)
    for pair, count in running.items():
        _add_running(placement, pair, count - old_running.get(pair, 0))
    for pair, count in old_running.items():
        if pair not in running:
            _add_running(placement, pair, -count)


def _add_waiting(placement: PlacementState, key: ItemKey, difference: int, now: float) -> None:
    if difference == 0:
        return
    item = placement.items[key]
    if item.waiting == 0:
        item.waiting_since = now
    item.waiting += difference
    placement.queue_review(key)


def _add_running(
    placement: PlacementState, pair: tuple[ServerId, ItemKey], difference: int
) -> None:
    if difference == 0:
        return
    total = placement.running.get(pair, 0) + difference
    if total:
        placement.running[pair] = total
    else:
        del placement.running[pair]
    item = placement.items[pair[1]]
    item.running += difference
    placement.queue_review(item.key)


def remove_item_demand(placement: PlacementState, key: ItemKey) -> None:
    """Remove the reported requests of a deleted item, so that it starts at 0 if declared again."""
    for node in placement.nodes.values():
        node.waiting.pop(key, None)
        node.running = {pair: count for pair, count in node.running.items() if pair[1] != key}
    placement.running = {pair: count for pair, count in placement.running.items() if pair[1] != key}
