"""Converts demand reports of nodes to inputs of the placement controller."""

from __future__ import annotations

from zincvale.controlplane.placement.events import DemandReported, DemandRow, UseRow
from zincvale.dataplane.messages import DemandReport
from zincvale.model.identifiers import AdapterName, MemberId, ModelName, ServerId


def to_demand_reported(report: DemandReport) -> DemandReported:
    """Return a node's report as the controller's input."""
    rows = tuple(
        DemandRow(
            ModelName(row.model),
            AdapterName(row.adapter) if row.adapter else None,
            requests=row.requests,
            tokens=row.tokens,
            waiting=row.waiting,
        )
        for row in report.rows
    )
    use = tuple(
        UseRow(
            ServerId(row.server),
            ModelName(row.model),
            AdapterName(row.adapter) if row.adapter else None,
            row.running,
        )
        for row in report.use
    )
    return DemandReported(MemberId(report.node), rows, use)
