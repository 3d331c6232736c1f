"""Effects of a claimant, carried out by `ClaimRequests`."""

from __future__ import annotations

import attrs

from zincvale.dataplane.claims.messages import (
    BlockCall,
    ClaimCall,
    CloseCall,
    QueryCall,
    RecordCall,
)
from zincvale.dataplane.claims.records import Attempt
from zincvale.dataplane.inference.dependencies import ClaimDecision
from zincvale.model.identifiers import MemberId


@attrs.frozen
class Request:
    """Effect: call `member`; `on_reply` or `on_failure` follows with this object."""

    member: MemberId
    message: ClaimCall | QueryCall | BlockCall
    requested_at: float
    round_number: int


@attrs.frozen
class Notify:
    """Effect: deliver `message` to the members, resent until confirmed or too late."""

    members: tuple[MemberId, ...]
    message: CloseCall | RecordCall


@attrs.frozen
class FetchViews:
    """Effect: request from `member` the newer versions of the registered nodes."""

    member: MemberId


@attrs.frozen
class Grant:
    """A majority's votes: `attempt` may be dispatched before `dispatch_by`."""

    attempt: Attempt
    digest: str
    dispatch_by: float


@attrs.frozen
class Finished:
    """Effect: the decision, with the grant if it is `ClaimGranted`."""

    decision: ClaimDecision
    grant: Grant | None = None


ClaimantEffect = Request | Notify | FetchViews | Finished
