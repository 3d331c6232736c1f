"""Settings of a deployment that forwards by documents, beside those of every daemon."""

from __future__ import annotations

from dataclasses import dataclass, field

from zincvale.model.checked import Checked


@dataclass
class ForwardingSettings(Checked):
    """What a forwarding deployment allows and where its list of servers is. Times are seconds."""

    readiness_address: str = ""
    """`ip:port` of the platform's readiness probe of a node."""
    ready_path: str = "/ready"
    list_address: str = ""
    """`ip:port` of the list of servers."""
    list_lag_s: float = 1.0
    """The list may be so much older than the time at which it is read."""
    retry_ratio: float = 0.2
    retry_slack: float = 20.0
    retry_window_s: float = 10.0
    cold_factor: float = 1.0
    cold_slack: float = 0.0
    store_window_s: float = 5.0
    store_over: float = 1.0
    order_quiet_s: float = 3.0
    """Time between the orders of two leaders to one server."""
    grace_s: float = 10.0
    """Time from a request to stop until the process is ended."""
    change_limit_s: float = 4.0
    """An operator waits so long for the acknowledgement of a change."""
    catch_up_s: float = 4.0
    """A replaced core must be able to bear the next loss after this time."""
    cores_lost_at_once: int = 1
    """Cores whose loss at one time must be borne: twice as many and one hold the control state."""
    policies: list[str] = field(default_factory=list)
    """Names of scorers; empty means the default chain."""
