"""Conditions of a resource's status, in the form that Kubernetes uses."""

from __future__ import annotations

import enum
from typing import Any

import attrs


class ConditionStatus(enum.Enum):
    """Whether a condition is true; a condition may change from any status to any other."""

    TRUE = "True"
    FALSE = "False"
    UNKNOWN = "Unknown"


@attrs.frozen
class Condition:
    """One observed fact about a resource.

    Attributes
    ----------
    type : name of the fact, for example `InForce`.
    status : whether it is true.
    reason : one word that programs may match.
    message : explanation for operators.
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


def known_condition(condition_type: str, reason: str, message: str, *, is_true: bool) -> Condition:
    """Return a condition whose status is known to be true or false."""
    status = ConditionStatus.TRUE if is_true else ConditionStatus.FALSE
    return Condition(condition_type, status, reason, message)


def unknown_condition(condition_type: str, reason: str, message: str) -> Condition:
    """Return a condition whose status is unknown."""
    return Condition(condition_type, ConditionStatus.UNKNOWN, reason, message)


ACCEPTED = "Accepted"
"""The declaration was checked and is durable on a majority of the cores' disks."""
IN_FORCE = "InForce"
"""Every node with a live lease applied an intent version that contains the declaration."""
READY = "Ready"
"""According to its probes, the server is ready."""
DRAINING = "Draining"
"""The server gets no new requests, but may still run earlier ones."""
DRAINED = "Drained"
"""The server gets no new requests and runs none."""
EVACUATING = "Evacuating"
"""The zone's servers get no new requests, but some may still run earlier ones."""
EVACUATED = "Evacuated"
"""The zone's servers get no new requests and run none."""
SERVING = "Serving"
"""At least one ready server of the pool is in service."""
RESIDENT = "Resident"
"""The declared number of ready servers, and at least one, have the model or adapter loaded."""
FITS = "Fits"
"""Some server of the pool has enough memory for the model or adapter."""
