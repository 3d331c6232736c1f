"""The body of `POST /v1/replicas`, which replaces one core's replica by another core's."""

from __future__ import annotations

from dataclasses import dataclass

from zincvale.controlplane.api.messages import ApiRequest
from zincvale.controlplane.intent.change_body import parse_json
from zincvale.coordination.registers.change_messages import ReplaceReplica
from zincvale.model.checked import Checked, read_checked
from zincvale.model.errors import BodyTooLargeError, InvalidInputError

MAX_REPLACEMENT_BYTES = 4_096
"""Largest body: far more than two member ids need."""


@dataclass
class Replacement(Checked):
    """The core that loses its replica and the core that gets one; one of the two may be empty.

    A core whose disk was lost is named in both: its new disk becomes a new replica.
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
        raise InvalidInputError("the body names no core", "set remove or add to a core's member id")
    return ReplaceReplica(replacement.remove, replacement.add)
