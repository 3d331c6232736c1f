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
    """Replace the replica on core `remove` by one on core `add`; answered by `ChangeResult`."""

    remove: str
    add: str


@peer_message("change.forward")
@attrs.frozen
class ForwardChange:
    """A change handed by another core to the owner it believes in."""

    proposal: ProposeChange
    limit_s: float


@peer_message("change.result")
@attrs.frozen
class ChangeResult:
    """Answer to a change: `in-force`, `conflict`, `invalid` or `not-confirmed`."""

    status: str
    version: int = 0
    current_version: int = 0
    problem: str = ""
    remedy: str = ""


IN_FORCE = "in-force"


CONFLICT = "conflict"


INVALID = "invalid"


NOT_CONFIRMED = "not-confirmed"


NOT_OWNER = "not-owner"
