"""Changes of keys, and their results."""

from __future__ import annotations

import attrs

from zincvale.model.messages import peer_message


@peer_message("change.propose")
@attrs.frozen
class ProposeChange:
    """Change `key`; a resend under the same `idempotency_key` gets the first result."""

    key: str
    idempotency_key: str
    base_version: int | None
    change: bytes


@peer_message("replica.replace")
@attrs.frozen
class ReplaceReplica:
    """Replace the replica on core `remove` by one on core `add`; responds `ChangeResult`."""

    remove: str
    add: str


@peer_message("change.forward")
@attrs.frozen
class ForwardChange:
    """A change that another core forwards to the core that it takes for the owner."""

    proposal: ProposeChange
    limit_s: float


@peer_message("change.result")
@attrs.frozen
class ChangeResult:
    """Result of a change; `status` is one of the constants below."""

    status: str
    version: int = 0
    current_version: int = 0
    problem: str = ""
    remedy: str = ""


IN_FORCE = "in-force"
"""The change is chosen and, for a delivered key, applied wherever it must be."""
CONFLICT = "conflict"
"""Another change won on the version that this one was built on."""
INVALID = "invalid"
"""The change cannot be applied to the current value."""
NOT_CONFIRMED = "not-confirmed"
"""The time is over and the outcome unknown: resend under the same idempotency key."""
NOT_OWNER = "not-owner"
"""To forwarding cores only: the sender does not own the key."""
