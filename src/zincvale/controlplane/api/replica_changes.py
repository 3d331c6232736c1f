"""The body of `POST /v1/replicas`: replace a core machine by another."""

from __future__ import annotations

from dataclasses import dataclass

from zincvale.controlplane.api.messages import ApiRequest
from zincvale.controlplane.intent.change_body import parse_json
from zincvale.coordination.registers.change_messages import ReplaceReplica
from zincvale.model.checked import Checked, read_checked
from zincvale.model.errors import BodyTooLargeError, InvalidInputError

MAX_REPLACEMENT_BYTES = 4_096
"""Largest body: two member ids with room to spare."""


@dataclass
class Replacement(Checked):
    """Which core loses its replica, and which gets one; one of the two may be empty.

    A core whose disk was lost is replaced by itself: its new disk is a new replica.
    """

    remove: str
    add: str


def read_replacement(request: ApiRequest) -> ReplaceReplica:
    """Return the message that asks the core for the replacement; raises a `ZincvaleError`."""
    if len(request.body) > MAX_REPLACEMENT_BYTES:
        raise BodyTooLargeError(
            f"the body has {len(request.body)} bytes, more than {MAX_REPLACEMENT_BYTES}",
            'send {"remove", "add"}',
            size_bytes=len(request.body),
            limit_bytes=MAX_REPLACEMENT_BYTES,
        )
    replacement = read_checked(Replacement, parse_json(request.body, "the body"), "the body")
    if not replacement.remove and not replacement.add:
        raise InvalidInputError("the body names no core", "name a core's member id")
    return ReplaceReplica(replacement.remove, replacement.add)
