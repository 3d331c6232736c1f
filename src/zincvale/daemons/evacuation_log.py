"""Log line of a process whose document has other evacuated zones than before."""

from __future__ import annotations

from zincvale.model.forwarding import ForwardingDocument
from zincvale.runtime import log_events
from zincvale.runtime.logs import log


def log_evacuations(previous: ForwardingDocument, document: ForwardingDocument) -> None:
    """Log the evacuated zones of `document` if `previous` has others."""
    if previous.evacuated == document.evacuated:
        return
    log(
        log_events.EVACUATIONS_CHANGED,
        version=document.version,
        evacuated=sorted(document.evacuated),
        previous_version=previous.version,
        previous=sorted(previous.evacuated),
    )
