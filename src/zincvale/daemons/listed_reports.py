"""What placement learns from the list of servers, which trails the servers themselves."""

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
    requested_at : a time that the rows are certainly not older than.
    is_known : whether placement knows a server better than the list; of such a server only that it
        drains is reported.
    """
    return tuple(
        StatusReport(_as_down_if_draining(row), requested_at, is_from_server=False)
        for row in observed.rows
        if row.draining or not is_known(row.server)
    )


def _as_down_if_draining(row: ServerRow) -> ServerRow:
    """Return a row as placement takes it: a server that is about to leave gets no loads."""
    if not row.draining:
        return row
    return attrs.evolve(row, health=ServerHealth.DOWN)
