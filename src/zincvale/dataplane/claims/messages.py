"""Messages between the nodes' claim services."""

from __future__ import annotations

import enum

import attrs

from zincvale.dataplane.claims.records import Attempt, ClaimState, RecordedClaim
from zincvale.model.messages import peer_message


class ClaimStatus(enum.StrEnum):
    """Result of a call to a voter, the value of `ClaimReply.status`."""

    GRANTED = "granted"
    """The attempt has this voter's vote."""
    CONTENDED = "held"
    """Another attempt is open; `state` names it. The wire value is a former name of this status."""
    RECORDED = "recorded"
    """The request has an outcome, in `state`."""
    BLOCKED = "barred"
    """To a `ClaimCall`: this voter never votes for the attempt. To a `BlockCall`: the attempts are
    blocked, except those with this voter's vote, which `state` lists as open."""
    FREE = "free"
    """To a `QueryCall`: no attempt is open."""
    FULL = "full"
    """The voter knows of no competing attempt, but has no room for this one."""
    NOT_READY = "not-ready"
    """The node does not vote yet after a restart or view change, or is no voter of the request."""
    STALE_VIEW = "stale-view"
    """The caller's view is older than `ClaimReply.view`, so its voters may be outdated."""


@peer_message("claims.claim")
@attrs.frozen
class ClaimCall:
    """Requests a vote for `attempt` as the only one that may run `request_id`."""

    view: int
    request_id: str
    digest: str
    attempt: Attempt


@peer_message("claims.look")
@attrs.frozen
class QueryCall:
    """Requests what the node knows of `request_id`."""

    view: int
    request_id: str


@peer_message("claims.bar")
@attrs.frozen
class BlockCall:
    """Requests that the voter never votes for `attempts`, except those with its vote already."""

    view: int
    request_id: str
    attempts: list[Attempt]


@peer_message("claims.close")
@attrs.frozen
class CloseCall:
    """Withdraws votes: `attempts` gave up, were released or can never get a majority."""

    request_id: str
    attempts: list[Attempt]


@peer_message("claims.record")
@attrs.frozen
class RecordCall:
    """Delivers the outcome of the attempt that ran, for the voter to store."""

    request_id: str
    recorded: RecordedClaim


@peer_message("claims.reply")
@attrs.frozen
class ClaimReply:
    """Reply to `ClaimCall`, `QueryCall` and `BlockCall`.

    Attributes
    ----------
    status : the value of a `ClaimStatus`.
    view : the newest view version that the replying node has seen.
    incarnation : of the replying node's process.
    state : what the replying node knows of the request.
    """

    status: str
    view: int
    incarnation: str
    state: ClaimState


@peer_message("claims.done")
@attrs.frozen
class ClaimAck:
    """Reply to `CloseCall`, `RecordCall` and `AnnounceCall`: the content is stored."""


@attrs.frozen
class CopiedClaim:
    """A copy of one row for another voter; `remaining_s` is its remaining time to live."""

    request_id: str
    state: ClaimState
    remaining_s: float


@peer_message("claims.announce")
@attrs.frozen
class AnnounceCall:
    """Sends an ingress node's running claims to voters that may have lost or would expire them."""

    claims: list[CopiedClaim]


@attrs.frozen
class ViewList:
    """One version of the registered nodes; `nodes` maps each node to its zone."""

    version: int
    nodes: dict[str, str]


@peer_message("claims.views")
@attrs.frozen
class ViewsCall:
    """Requests the known versions of the registered nodes, `newer_than` itself included."""

    newer_than: int


@peer_message("claims.views_reply")
@attrs.frozen
class ViewsReply:
    """Reply to `ViewsCall`, the oldest version first."""

    views: list[ViewList]


@peer_message("claims.pull")
@attrs.frozen
class PullCall:
    """Requests a page of the claims that the sender votes on, and no more votes in older views.

    Attributes
    ----------
    view : the sender's view; the receiver stops voting in older ones.
    own_claims : whether to read the claims of requests that the source received as an ingress node,
        rather than those it votes on.
    cursor : the page starts with the first change after this sequence number.
    """

    view: int
    own_claims: bool
    cursor: int


@peer_message("claims.pull_reply")
@attrs.frozen
class PullReply:
    """Reply to `PullCall`: one page of claims.

    Attributes
    ----------
    view : the newest view the source has seen; a page has claims only if it is the requested one.
    is_usable : whether the source knows the nodes of the requested view and has seen no newer one.
    completed_views : the views in which the source votes or voted since its process started.
    cursor : `PullCall.cursor` of the next page.
    is_done : whether this is the last page of the table.
    views : versions of the registered nodes that the source knows; empty but on the first page.
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
    """A peer message, encoded: its registered name and its Avro body."""

    name: str
    body: bytes


@peer_message("claims.batch")
@attrs.frozen
class BatchCall:
    """Several calls to one node, each handled as if it were sent by itself."""

    calls: list[NamedMessage]


@peer_message("claims.batch_reply")
@attrs.frozen
class BatchReply:
    """Reply to `BatchCall`: the replies in the order of the calls."""

    replies: list[NamedMessage]
