"""Inputs and effects of the claim service's state machine, besides those of `model.machine`."""

from __future__ import annotations

import attrs

from zincvale.dataplane.claims.messages import ViewList
from zincvale.dataplane.inference.dependencies import ClaimDecision
from zincvale.model.identifiers import MemberId, RequestId
from zincvale.model.outcomes import Outcome


@attrs.frozen
class ClaimRequested:
    """Input: claim the right to run a request; `Decided(token, ...)` follows by `deadline_at`."""

    token: str
    request_id: RequestId
    digest: str
    deadline_at: float


@attrs.frozen
class RenewalRequested:
    """Input: renew a grant that is too old for a dispatch; `Confirmed(token, ...)` follows."""

    token: str
    request_id: RequestId
    deadline_at: float


@attrs.frozen
class ClaimAbandoned:
    """Input: the caller no longer waits for the decision or renewal `token`."""

    token: str


@attrs.frozen
class OutcomeReached:
    """Input: this node's granted claim has an outcome; `Confirmed(token, ...)` follows."""

    token: str
    request_id: RequestId
    outcome: Outcome
    status: int
    headers: dict[str, str]
    body: bytes


@attrs.frozen
class ReleaseRequested:
    """Input: release a request that provably never ran; `Confirmed(token, ...)` follows."""

    token: str
    request_id: RequestId


@attrs.frozen
class ViewsReceived:
    """Input: versions of the registered nodes, from the control plane or a peer."""

    views: list[ViewList]


@attrs.frozen
class LiveMembersChanged:
    """Input: the members with live leases, and the incarnation of each one's process."""

    incarnations: dict[MemberId, str]


@attrs.frozen
class Decided:
    """Effect: complete the claim `token` with this decision."""

    token: str
    decision: ClaimDecision


@attrs.frozen
class Confirmed:
    """Effect: complete the renewal, outcome or release `token`, confirmed by a majority or not."""

    token: str
    is_confirmed: bool


@attrs.frozen
class WakeAt:
    """Effect: pass a `Tick` to the machine at this time, in addition to the periodic ones."""

    at: float
