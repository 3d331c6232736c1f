"""Converts rows of the server list, which lags behind the servers, to inputs of placement."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from zincvale.controlplane.directory.server_discovery import ServersObserved
from zincvale.controlplane.placement.events import StatusReport
from zincvale.model.control_tables import ServerHealth, ServerRow
from zincvale.model.identifiers import ServerId


def listed_reports(
    observed: ServersObserved, requested_at: float, is_known: Callable[[ServerId], bool]
) -> tuple[StatusReport, ...]:
    """Return the observed rows as reports.

    Parameters
    ----------
    requested_at : earliest time at which the rows may have been observed.
    is_known : whether placement has newer knowledge of a server than the list; such a server is
        reported only when it is draining.
    """
    return tuple(
        StatusReport(_as_down_if_draining(row), requested_at, is_from_server=False)
        for row in observed.rows
        if row.draining or not is_known(row.server)
    )


def _as_down_if_draining(row: ServerRow) -> ServerRow:
    """Return `row`, as down if its server is draining, so that placement loads nothing there."""
    if not row.draining:
        return row
    return attrs.evolve(row, health=ServerHealth.DOWN)
