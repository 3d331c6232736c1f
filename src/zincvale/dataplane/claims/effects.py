"""Effects of a claimant, carried out by `claim_requests`."""

from __future__ import annotations

import attrs

from zincvale.dataplane.claims.messages import (
    BarCall,
    ClaimCall,
    CloseCall,
    LookCall,
    RecordCall,
)
from zincvale.dataplane.claims.records import Attempt
from zincvale.dataplane.inference.dependencies import ClaimDecision
from zincvale.model.identifiers import MemberId


@attrs.frozen
class Ask:
    """Effect: call `member`; `replied` or `failed` follows with this object."""

    member: MemberId
    message: ClaimCall | LookCall | BarCall
    asked_at: float
    round_number: int


@attrs.frozen
class Tell:
    """Effect: bring `message` to the members, sent again until confirmed or too late."""

    members: tuple[MemberId, ...]
    message: CloseCall | RecordCall


@attrs.frozen
class FetchViews:
    """Effect: ask `member` for the newer versions of the registered nodes."""

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


ClaimantEffect = Ask | Tell | FetchViews | Finished
