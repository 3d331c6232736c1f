"""Effects of a claimant, which `ClaimRequests` carries out."""

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
    """Effect: call `member`, then pass this object to `on_reply` or `on_failure`."""

    member: MemberId
    message: ClaimCall | QueryCall | BlockCall
    requested_at: float
    round_number: int


@attrs.frozen
class Notify:
    """Effect: deliver `message` to the members, with resends until confirmation or a timeout."""

    members: tuple[MemberId, ...]
    message: CloseCall | RecordCall


@attrs.frozen
class FetchViews:
    """Effect: fetch from `member` the versions of the registered nodes that are newer than ours."""

    member: MemberId


@attrs.frozen
class Grant:
    """Permission by a majority of the voters to dispatch `attempt` before `dispatch_by`."""

    attempt: Attempt
    digest: str
    dispatch_by: float


@attrs.frozen
class Finished:
    """Effect: the claimant is finished; `grant` is set if the decision is `ClaimGranted`."""

    decision: ClaimDecision
    grant: Grant | None = None


ClaimantEffect = Request | Notify | FetchViews | Finished
