"""Settings of a deployment that forwards by documents, in addition to those of every daemon."""

from __future__ import annotations

from dataclasses import dataclass, field

from zincvale.model.checked import Checked


@dataclass
class ForwardingSettings(Checked):
    """Addresses, limits and time limits of a forwarding deployment. Times are seconds."""

    readiness_address: str = ""
    """`ip:port` at which a node responds to the platform's readiness probe."""
    ready_path: str = "/ready"
    list_address: str = ""
    """`ip:port` that serves the list of servers."""
    list_lag_s: float = 1.0
    """Longest time by which the list may be older than the time at which it is read."""
    retry_ratio: float = 0.2
    retry_slack: float = 20.0
    retry_window_s: float = 10.0
    cold_factor: float = 1.0
    cold_slack: float = 0.0
    store_window_s: float = 5.0
    store_over: float = 1.0
    order_quiet_s: float = 3.0
    """Least time between the orders of two successive leaders to one server."""
    grace_s: float = 10.0
    """Time from a request to stop until the platform kills the process."""
    change_limit_s: float = 4.0
    """Longest time for which an operator waits for the acknowledgement of a change."""
    catch_up_s: float = 4.0
    """Time after which the cores must tolerate another loss, once a lost core was replaced."""
    cores_lost_at_once: int = 1
    """Number of cores whose simultaneous loss must be tolerated; twice as many plus one hold the
    control
state."""
    policies: list[str] = field(default_factory=list)
    """Names of the scorers that choose a server; empty means the default chain."""
