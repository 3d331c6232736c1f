"""Inputs and effects of the claim service's state machine, besides those of `model.machine`."""

from __future__ import annotations

import attrs

from zincvale.dataplane.claims.messages import ViewList
from zincvale.dataplane.inference.dependencies import ClaimDecision
from zincvale.model.identifiers import MemberId, RequestId
from zincvale.model.outcomes import Outcome


@attrs.frozen
class ClaimRequested:
    """Input: a request wants to run; `Decided(token, ...)` follows by `deadline_at`."""

    token: str
    request_id: RequestId
    digest: str
    deadline_at: float


@attrs.frozen
class RenewalRequested:
    """Input: a granted claim grew too old to dispatch; `Confirmed(token, ...)` follows."""

    token: str
    request_id: RequestId
    deadline_at: float


@attrs.frozen
class ClaimAbandoned:
    """Input: nobody waits for the decision `token` any more."""

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
    """Input: the request provably never ran; `Confirmed(token, ...)` follows."""

    token: str
    request_id: RequestId


@attrs.frozen
class ViewsReceived:
    """Input: versions of the registered nodes, from the control plane or a peer."""

    views: list[ViewList]


@attrs.frozen
class LiveMembersChanged:
    """Input: incarnation by member with a live lease."""

    incarnations: dict[MemberId, str]


@attrs.frozen
class Decided:
    """Effect: the decision about the claim `token`."""

    token: str
    decision: ClaimDecision


@attrs.frozen
class Confirmed:
    """Effect: whether a majority confirmed what `token` requested."""

    token: str
    is_confirmed: bool


@attrs.frozen
class WakeAt:
    """Effect: feed a `Tick` at this time, besides the periodic ones."""

    at: float
