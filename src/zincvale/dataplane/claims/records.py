"""The state of one claimed request, and how copies of it from several nodes are merged.

The state of a request is a join semilattice: attempts are only ever added, closing wins over
opening, and a recorded response wins over a recorded unknown outcome. Merging copies in any order
and any number of times gives the same state, so that repair may read from every node that responds.
"""

from __future__ import annotations

import attrs

from zincvale.model.identifiers import MemberId, RequestId
from zincvale.model.outcomes import Outcome

MAX_ENDED_ATTEMPTS = 256
"""Limit of closed and blocked attempts of one request, above which new attempts are refused.

The table cannot drop old ones instead, because a forgotten attempt could get votes again.
"""


@attrs.frozen(order=True)
class Attempt:
    """One ingress node's attempt to run one request; it is never reused after it was closed.

    The order of attempts resolves split votes: the smaller attempt continues, the other one yields.

    Attributes
    ----------
    owner : the ingress node.
    incarnation : identifies the owner's process.
    number : sequence number that is unique in the owner's process.
    """

    owner: MemberId
    incarnation: str
    number: int


@attrs.frozen
class OpenClaim:
    """An attempt that may run the request, and the digest of the request that it would run."""

    attempt: Attempt
    digest: str


@attrs.frozen
class RecordedClaim:
    """The outcome of the attempt that ran.

    Attributes
    ----------
    outcome : value of a `model.outcomes.Outcome`.
    has_body : False if the body was omitted because it exceeds a limit of the voters.
    """

    attempt: Attempt
    digest: str
    outcome: str
    status: int
    headers: dict[str, str]
    body: bytes
    has_body: bool = True

    def supersedes(self, other: RecordedClaim | None) -> bool:
        """Whether this record replaces `other`.

        A response replaces an unknown outcome, and a record with its body one without it.
        """
        if other is None:
            return True
        return _definiteness(self) > _definiteness(other)

    def without_body(self) -> RecordedClaim:
        """Return a copy without the body, for a voter that has no room for it."""
        return attrs.evolve(self, body=b"", has_body=False)


def _definiteness(recorded: RecordedClaim) -> tuple[bool, bool]:
    return (recorded.outcome == Outcome.ANSWERED.value, recorded.has_body)


@attrs.frozen
class ClaimState:
    """The state of one request as sent between nodes; `ClaimRow` explains the fields."""

    open: list[OpenClaim] = attrs.field(factory=list)
    closed: list[Attempt] = attrs.field(factory=list)
    blocked: list[Attempt] = attrs.field(factory=list)
    recorded: RecordedClaim | None = None


@attrs.define
class ClaimRow:
    """The state of one request in a table.

    Attributes
    ----------
    open : digest by attempt, for attempts with this voter's vote or learnt from other voters.
    closed : attempts that gave up, were released, or provably never had a majority; they cannot
        run any more, so that voters may vote for other attempts.
    blocked : attempts that this voter never votes for. Only a majority of such voters proves that
        an attempt cannot run, so that one voter's blocks prove nothing to others.
    recorded : the outcome of the attempt that ran, if known.
    expires_at : in seconds on the voter's clock.
    sequence : sequence number of the row's last change in its table.
    voters, voters_view : the voters of the request in the view of that version, cached so that they
        are not computed again for each page that is read.
    """

    request_id: RequestId
    open: dict[Attempt, str] = attrs.field(factory=dict)
    closed: frozenset[Attempt] = frozenset()
    blocked: frozenset[Attempt] = frozenset()
    recorded: RecordedClaim | None = None
    expires_at: float = 0.0
    sequence: int = 0
    voters: tuple[MemberId, ...] = ()
    voters_view: int = 0

    def other_open_attempts(self, attempt: Attempt | None) -> list[Attempt]:
        """Return the open attempts other than `attempt`, the preferred one first."""
        return sorted(other for other in self.open if other != attempt)

    def open_attempt(self, attempt: Attempt, digest: str) -> None:
        """Add an open attempt, unless it was closed before."""
        if attempt not in self.closed:
            self.open[attempt] = digest

    def block(self, attempt: Attempt) -> None:
        """Exclude the attempt from votes permanently, unless it is open or closed here already."""
        if attempt not in self.open and attempt not in self.closed:
            self.blocked |= {attempt}

    def may_vote_for(self, attempt: Attempt) -> bool:
        """Whether the attempt is neither closed nor blocked here."""
        return attempt not in self.closed and attempt not in self.blocked

    def close(self, attempt: Attempt) -> None:
        """Close an attempt, unless its response is recorded.

        An unknown outcome that is recorded for it is removed, because a closed attempt never ran.
        """
        if self._has_response_of(attempt):
            return
        self.open.pop(attempt, None)
        self.closed |= {attempt}
        if self.recorded is not None and self.recorded.attempt == attempt:
            self.recorded = None

    def record(self, recorded: RecordedClaim) -> None:
        """Store an outcome if it supersedes the stored one.

        An unknown outcome of a closed attempt is ignored, because the attempt never ran.
        """
        if recorded.attempt in self.closed and recorded.outcome != Outcome.ANSWERED.value:
            return
        if recorded.supersedes(self.recorded):
            self.recorded = recorded

    def merge(self, state: ClaimState) -> None:
        """Merge the state that another node knows."""
        for attempt in state.closed:
            self.close(attempt)
        for claim in state.open:
            self.open_attempt(claim.attempt, claim.digest)
        if state.blocked:
            self.blocked |= set(state.blocked)
        if state.recorded is not None:
            self.record(state.recorded)

    def state(self) -> ClaimState:
        """Return the state as sent to other nodes."""
        return ClaimState(
            [OpenClaim(attempt, digest) for attempt, digest in sorted(self.open.items())],
            sorted(self.closed),
            sorted(self.blocked),
            self.recorded,
        )

    def body_bytes(self) -> int:
        """Return the size of the recorded body in bytes."""
        if self.recorded is None:
            return 0
        return len(self.recorded.body)

    def _has_response_of(self, attempt: Attempt) -> bool:
        recorded = self.recorded
        if recorded is None or recorded.attempt != attempt:
            return False
        return recorded.outcome == Outcome.ANSWERED.value
