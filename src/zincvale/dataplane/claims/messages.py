"""Messages between the nodes' claim services."""

from __future__ import annotations

import enum

import attrs

from zincvale.dataplane.claims.records import Attempt, ClaimState, RecordedClaim
from zincvale.model.messages import peer_message


class ClaimStatus(enum.StrEnum):
    """What a holder answered, as `ClaimReply.status`."""

    GRANTED = "granted"
    """The attempt has this holder's vote."""
    HELD = "held"
    """Another attempt is open; `state` names it."""
    RECORDED = "recorded"
    """The request has an outcome, in `state`."""
    BARRED = "barred"
    """To a claim: the attempt gets no vote here. To a bar: it is noted; `state` names the votes."""
    FREE = "free"
    """To a look: no attempt is open."""
    FULL = "full"
    """Nothing is known of the request, and there is no room for another claim."""
    NOT_READY = "not-ready"
    """The holder restarted or learnt a new view, and does not vote yet."""
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
class LookCall:
    """Tell what is known of `request_id`."""

    view: int
    request_id: str


@peer_message("claims.bar")
@attrs.frozen
class BarCall:
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
    """Keep the outcome of the attempt that ran."""

    request_id: str
    recorded: RecordedClaim


@peer_message("claims.reply")
@attrs.frozen
class ClaimReply:
    """Answer to `ClaimCall`, `LookCall` and `BarCall`.

    Attributes
    ----------
    status : a `ClaimStatus`.
    view : the newest view version that the answering node heard of.
    incarnation : of the answering node.
    """

    status: str
    view: int
    incarnation: str
    state: ClaimState


@peer_message("claims.done")
@attrs.frozen
class ClaimDone:
    """Answer to `CloseCall`, `RecordCall` and `AnnounceCall`: it is kept."""


@attrs.frozen
class CopiedClaim:
    """One row on its way to another holder; `remaining_s` is the rest of its life."""

    request_id: str
    state: ClaimState
    remaining_s: float


@peer_message("claims.announce")
@attrs.frozen
class AnnounceCall:
    """An entry node's own claims, for holders that may have lost them."""

    claims: list[CopiedClaim]


@attrs.frozen
class ViewList:
    """One version of the registered nodes; `nodes` maps node to zone."""

    version: int
    nodes: dict[str, str]


@peer_message("claims.views")
@attrs.frozen
class ViewsCall:
    """Tell the versions of the registered nodes that are known from `newer_than` on."""

    newer_than: int


@peer_message("claims.views_reply")
@attrs.frozen
class ViewsReply:
    """Answer to `ViewsCall`, the oldest version first."""

    views: list[ViewList]


@peer_message("claims.pull")
@attrs.frozen
class PullCall:
    """Stop voting in views older than `view`, and copy out the claims that the sender holds in it.

    Attributes
    ----------
    own : whether to read the claims that the source entered itself, rather than those it holds.
    cursor : return changes after this sequence number.
    """

    view: int
    own: bool
    cursor: int


@peer_message("claims.pull_reply")
@attrs.frozen
class PullReply:
    """One page of claims.

    Attributes
    ----------
    view : the newest view the source heard of; pages are only filled when it is the asked one.
    usable : the source knows the view's nodes, and no newer one.
    completed : the views in which the source votes or voted since its process started.
    cursor : where the next page starts.
    done : the table has no more pages.
    views : versions of the registered nodes that the source knows.
    """

    view: int
    usable: bool
    completed: list[int]
    claims: list[CopiedClaim]
    cursor: int
    done: bool
    views: list[ViewList]


@attrs.frozen
class NamedMessage:
    """A registered message by its name, and its Avro body."""

    name: str
    body: bytes


@peer_message("claims.batch")
@attrs.frozen
class BatchCall:
    """Several calls to one node, each answered as if it came alone."""

    calls: list[NamedMessage]


@peer_message("claims.batch_reply")
@attrs.frozen
class BatchReply:
    """Answers in the order of the calls."""

    replies: list[NamedMessage]
