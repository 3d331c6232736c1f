"""What must hold of evacuations: nothing reaches an evacuated zone from a machine in touch."""

from __future__ import annotations

from collections.abc import Iterator

from tests.soak.history import EvacuationRecord, History, RequestRecord, ServerRun
from tests.soak.in_touch import InTouch, Problem
from tests.soak.settings_file import EVACUATION_S, OUTER_S


def evacuation_problems(history: History, in_touch: InTouch) -> Iterator[Problem]:
    """Report each run in a zone whose acknowledged evacuation was not taken back since."""
    requests = {request.request_id: request for request in history.requests}
    for run in history.runs:
        request = requests.get(run.request_id)
        order = _newest_order(history, run)
        if request is None or order is None or not order.evacuated:
            continue
        if order.acknowledged_at is None:
            continue
        late_s = run.at - order.acknowledged_at
        if late_s > _bound_s(request, run, in_touch):
            text = (
                f"{request.machine} reached {run.zone} {late_s:.3f} s after its evacuation was "
                f"acknowledged by {order.acknowledged_by}"
            )
            yield Problem("evacuated-zone-reached", run.at, text)


def refused_orders(history: History) -> Iterator[Problem]:
    """Report each order that got a refusal: all of them are proper."""
    for order in history.evacuations:
        if order.refused_with:
            text = f"{order.zone} {order.evacuated}: {order.refused_with}"
            yield Problem("evacuation-refused", order.first_sent_at, text)


def _newest_order(history: History, run: ServerRun) -> EvacuationRecord | None:
    """Return the newest order about the zone of a run that was sent before the run."""
    orders = [
        order
        for order in history.evacuations
        if order.zone == run.zone and order.first_sent_at <= run.at
    ]
    return orders[-1] if orders else None


def _bound_s(request: RequestRecord, run: ServerRun, in_touch: InTouch) -> float:
    """Return how long after the acknowledgement the run was allowed to come."""
    if not in_touch.is_undisturbed(request.machine, request.sent_at, run.at):
        return float("inf")
    if in_touch.is_core_stable(request.sent_at, run.at):
        return EVACUATION_S
    return EVACUATION_S + OUTER_S
