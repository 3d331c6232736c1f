"""Messages between the nodes' claim services."""

from __future__ import annotations

import enum

import attrs

from zincvale.dataplane.claims.records import Attempt, ClaimState, RecordedClaim
from zincvale.model.messages import peer_message


class ClaimStatus(enum.StrEnum):
    """What a voter responded, as `ClaimReply.status`."""

    GRANTED = "granted"
    """The attempt has this voter's vote."""
    CONTENDED = "held"
    """Another attempt is open; `state` names it. The text on the wire is older than the name."""
    RECORDED = "recorded"
    """The request has an outcome, in `state`."""
    BLOCKED = "barred"
    """To a claim: no vote for the attempt here. To a block: done; `state` names votes given."""
    FREE = "free"
    """To a query: no attempt is open."""
    FULL = "full"
    """Nothing is known of the request, and there is no room for another claim."""
    NOT_READY = "not-ready"
    """The voter restarted or learnt a new view, and does not vote yet."""
    STALE_VIEW = "stale-view"
    """The caller's view is older than `view`."""


@peer_message("claims.claim")
@attrs.frozen
class ClaimCall:
    """Vote for `attempt` as the one that may run `request_id`."""

    view: int
    request_id: str
    digest: str
    attempt: Attempt


@peer_message("claims.look")
@attrs.frozen
class QueryCall:
    """Return what is known of `request_id`."""

    view: int
    request_id: str


@peer_message("claims.bar")
@attrs.frozen
class BlockCall:
    """Never vote for `attempts` from now on, unless the vote was given already."""

    view: int
    request_id: str
    attempts: list[Attempt]


@peer_message("claims.close")
@attrs.frozen
class CloseCall:
    """`attempts` gave up, were released or can never get a majority: take their votes back."""

    request_id: str
    attempts: list[Attempt]


@peer_message("claims.record")
@attrs.frozen
class RecordCall:
    """Store the outcome of the attempt that ran."""

    request_id: str
    recorded: RecordedClaim


@peer_message("claims.reply")
@attrs.frozen
class ClaimReply:
    """Response to `ClaimCall`, `QueryCall` and `BlockCall`.

    Attributes
    ----------
    status : a `ClaimStatus`.
    view : the newest view version that the responding node has seen.
    incarnation : of the responding node.
    """

    status: str
    view: int
    incarnation: str
    state: ClaimState


@peer_message("claims.done")
@attrs.frozen
class ClaimAck:
    """Response to `CloseCall`, `RecordCall` and `AnnounceCall`: it is stored."""


@attrs.frozen
class CopiedClaim:
    """One row on its way to another voter; `remaining_s` is the rest of its life."""

    request_id: str
    state: ClaimState
    remaining_s: float


@peer_message("claims.announce")
@attrs.frozen
class AnnounceCall:
    """An ingress node's own claims, for voters that may have lost them."""

    claims: list[CopiedClaim]


@attrs.frozen
class ViewList:
    """One version of the registered nodes; `nodes` maps node to zone."""

    version: int
    nodes: dict[str, str]


@peer_message("claims.views")
@attrs.frozen
class ViewsCall:
    """Return the versions of the registered nodes that are known from `newer_than` on."""

    newer_than: int


@peer_message("claims.views_reply")
@attrs.frozen
class ViewsReply:
    """Response to `ViewsCall`, the oldest version first."""

    views: list[ViewList]


@peer_message("claims.pull")
@attrs.frozen
class PullCall:
    """Stop voting in views older than `view`, and copy out what the sender votes on.

    Attributes
    ----------
    own_claims : whether to read the claims of requests that the source received itself, rather than
        those it votes on.
    cursor : return changes after this sequence number.
    """

    view: int
    own_claims: bool
    cursor: int


@peer_message("claims.pull_reply")
@attrs.frozen
class PullReply:
    """One page of claims.

    Attributes
    ----------
    view : the newest view the source has seen; pages are filled only when it is the requested
        one.
    is_usable : the source knows the view's nodes, and no newer one.
    completed_views : the views in which the source votes or voted since its process started.
    cursor : where the next page starts.
    is_done : the table has no more pages.
    views : versions of the registered nodes that the source knows.
    """

    view: int
    is_usable: bool
    completed_views: list[int]
    claims: list[CopiedClaim]
    cursor: int
    is_done: bool
    views: list[ViewList]


@attrs.frozen
class NamedMessage:
    """A registered message by its name, and its Avro body."""

    name: str
    body: bytes


@peer_message("claims.batch")
@attrs.frozen
class BatchCall:
    """Several calls to one node, each handled as if it came alone."""

    calls: list[NamedMessage]


@peer_message("claims.batch_reply")
@attrs.frozen
class BatchReply:
    """Responses in the order of the calls."""

    replies: list[NamedMessage]
