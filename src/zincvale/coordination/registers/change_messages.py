"""Messages that propose and forward changes of keys, and their results."""

from __future__ import annotations

import attrs

from zincvale.model.messages import peer_message


@peer_message("change.propose")
@attrs.frozen
class ProposeChange:
    """Propose a change of `key`; a resend under the same `idempotency_key` gets the same result.

    A change with a `base_version` is rejected unless this is the current version of the key.
    """

    key: str
    idempotency_key: str
    base_version: int | None
    change: bytes


@peer_message("replica.replace")
@attrs.frozen
class ReplaceReplica:
    """Replace the replica on core `remove` by one on `add`; the response is a `ChangeResult`."""

    remove: str
    add: str


@peer_message("change.forward")
@attrs.frozen
class ForwardChange:
    """A change that a core forwards to the core that it believes to own the key."""

    proposal: ProposeChange
    limit_s: float


@peer_message("change.result")
@attrs.frozen
class ChangeResult:
    """Result of a change.

    Attributes
    ----------
    status : one of the constants of this module.
    version : the version that the change produced, if it is in force.
    current_version : the newest version of the key, as the responding core knows it.
    """

    status: str
    version: int = 0
    current_version: int = 0
    problem: str = ""
    remedy: str = ""


IN_FORCE = "in-force"
"""The change is chosen and, if nodes store its key, applied by every node that may serve."""
CONFLICT = "conflict"
"""Another change was applied first to the version that this change is based on."""
INVALID = "invalid"
"""The change cannot be applied to the current value of the key."""
NOT_CONFIRMED = "not-confirmed"
"""The change timed out with an unknown outcome; resend it under the same idempotency key."""
NOT_OWNER = "not-owner"
"""The responding core does not own the key; sent only to cores that forward a change."""
