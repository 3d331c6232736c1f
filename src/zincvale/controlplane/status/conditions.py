"""Conditions of a resource's status, as Kubernetes users know them."""

from __future__ import annotations

import enum
from typing import Any

import attrs


class ConditionStatus(enum.Enum):
    """Whether a condition is true; any status may follow any other."""

    TRUE = "True"
    FALSE = "False"
    UNKNOWN = "Unknown"


@attrs.frozen
class Condition:
    """One observed fact about a resource.

    Attributes
    ----------
    type : the fact, for example `InForce`.
    status : whether it is true.
    reason : one word for programs.
    message : one sentence for people.
    """

    type: str
    status: ConditionStatus
    reason: str
    message: str

    def to_json(self) -> dict[str, Any]:
        """Return the condition as the control API shows it."""
        return {
            "type": self.type,
            "status": self.status.value,
            "reason": self.reason,
            "message": self.message,
        }


def known(condition_type: str, reason: str, message: str, *, is_true: bool) -> Condition:
    """Return a condition that is known to be true or known to be false."""
    status = ConditionStatus.TRUE if is_true else ConditionStatus.FALSE
    return Condition(condition_type, status, reason, message)


def unknown(condition_type: str, reason: str, message: str) -> Condition:
    """Return a condition of which nothing is known."""
    return Condition(condition_type, ConditionStatus.UNKNOWN, reason, message)


ACCEPTED = "Accepted"
"""The declaration was checked and is durable at a majority of the core's disks."""
IN_FORCE = "InForce"
"""Every node with a live lease applied a version that contains the declaration."""
READY = "Ready"
"""Probes find the server ready."""
DRAINING = "Draining"
"""The server takes nothing new and still runs requests."""
DRAINED = "Drained"
"""The server takes nothing new and runs nothing."""
EVACUATING = "Evacuating"
"""The zone's servers take nothing new and some still run requests."""
EVACUATED = "Evacuated"
"""The zone's servers take nothing new and run nothing."""
SERVING = "Serving"
"""At least one server in service can take a request."""
RESIDENT = "Resident"
"""As many ready servers have it loaded as were declared, and at least one."""
FITS = "Fits"
"""Some server of the pool has memory for it."""
