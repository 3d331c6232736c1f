"""What is known of one claimed request, and how knowledge of two sources is merged.

The state of a request is a join semilattice: attempts are only ever added, closing wins over
opening, and a recorded response wins over a recorded unknown outcome. Merging copies in any order,
any number of times, gives the same state, so that repair may read from as many sources as respond.
"""

from __future__ import annotations

import attrs

from zincvale.model.identifiers import MemberId, RequestId
from zincvale.model.outcomes import Outcome

MAX_ENDED_ATTEMPTS = 256
"""A request with more closed and blocked attempts is refused: a forgotten one could get votes."""


@attrs.frozen(order=True)
class Attempt:
    """One ingress node's try to run one request; never used again after it was closed.

    Attempts are ordered, which decides split votes: the smaller one goes on, the other yields.

    Attributes
    ----------
    owner : the ingress node.
    incarnation : of the owner's process.
    number : counts the owner's attempts.
    """

    owner: MemberId
    incarnation: str
    number: int


@attrs.frozen
class OpenClaim:
    """An attempt that may run the request, with the digest of the request it would run."""

    attempt: Attempt
    digest: str


@attrs.frozen
class RecordedClaim:
    """The outcome of the attempt that ran.

    Attributes
    ----------
    outcome : value of a `model.outcomes.Outcome`.
    has_body : False when the body was larger than voters store.
    """

    attempt: Attempt
    digest: str
    outcome: str
    status: int
    headers: dict[str, str]
    body: bytes
    has_body: bool = True

    def supersedes(self, other: RecordedClaim | None) -> bool:
        """Whether this record is more definite than `other`: a response beats unknown."""
        if other is None:
            return True
        return _definiteness(self) > _definiteness(other)

    def without_body(self) -> RecordedClaim:
        """Return the same record for a voter that has no room for the body."""
        return attrs.evolve(self, body=b"", has_body=False)


def _definiteness(recorded: RecordedClaim) -> tuple[bool, bool]:
    return (recorded.outcome == Outcome.ANSWERED.value, recorded.has_body)


@attrs.frozen
class ClaimState:
    """The state of one request, as sent between nodes; see `ClaimRow`."""

    open: list[OpenClaim] = attrs.field(factory=list)
    closed: list[Attempt] = attrs.field(factory=list)
    blocked: list[Attempt] = attrs.field(factory=list)
    recorded: RecordedClaim | None = None


@attrs.define
class ClaimRow:
    """The state of one request in a table.

    Attributes
    ----------
    open : digest by attempt that holds this voter's vote or was learnt from other voters.
    closed : attempts that gave up, were released, or provably never had a majority; no voter
        needs to count with them any more.
    blocked : attempts that this voter never votes for; only a majority of such voters proves
        that the attempt can not run, so that `blocked` says nothing to others.
    expires_at : seconds on the voter's clock.
    sequence : place in the table's order of changes.
    voters, voters_view : the voters of the request in the view of that version, stored so that
        they are not computed for each page that is read.
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

    def others(self, attempt: Attempt | None) -> list[Attempt]:
        """Return the open attempts besides `attempt`, the preferred one first."""
        return sorted(other for other in self.open if other != attempt)

    def open_attempt(self, attempt: Attempt, digest: str) -> None:
        """Add an attempt unless it was closed before."""
        if attempt not in self.closed:
            self.open[attempt] = digest

    def block(self, attempt: Attempt) -> None:
        """Never vote for the attempt, unless it is open here already."""
        if attempt not in self.open and attempt not in self.closed:
            self.blocked |= {attempt}

    def may_vote_for(self, attempt: Attempt) -> bool:
        """Whether the attempt was neither closed nor blocked here."""
        return attempt not in self.closed and attempt not in self.blocked

    def close(self, attempt: Attempt) -> None:
        """Close an attempt; an unknown outcome recorded for it is void, since it never ran."""
        if self._has_response_of(attempt):
            return
        self.open.pop(attempt, None)
        self.closed |= {attempt}
        if self.recorded is not None and self.recorded.attempt == attempt:
            self.recorded = None

    def record(self, recorded: RecordedClaim) -> None:
        """Store an outcome if it is more definite than the stored one."""
        if recorded.attempt in self.closed and recorded.outcome != Outcome.ANSWERED.value:
            return
        if recorded.supersedes(self.recorded):
            self.recorded = recorded

    def merge(self, state: ClaimState) -> None:
        """Add what another source knows."""
        for attempt in state.closed:
            self.close(attempt)
        for claim in state.open:
            self.open_attempt(claim.attempt, claim.digest)
        if state.blocked:
            self.blocked |= set(state.blocked)
        if state.recorded is not None:
            self.record(state.recorded)

    def state(self) -> ClaimState:
        """Return the state to send."""
        return ClaimState(
            [OpenClaim(attempt, digest) for attempt, digest in sorted(self.open.items())],
            sorted(self.closed),
            sorted(self.blocked),
            self.recorded,
        )

    def body_bytes(self) -> int:
        """Return the size of the stored body."""
        if self.recorded is None:
            return 0
        return len(self.recorded.body)

    def _has_response_of(self, attempt: Attempt) -> bool:
        recorded = self.recorded
        if recorded is None or recorded.attempt != attempt:
            return False
        return recorded.outcome == Outcome.ANSWERED.value
