"""Each rule of the claim protocol is needed: without it some seed runs a request twice."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

import testtools

from tests.dataplane.claims.claims_cluster import PROFILES, SimulatedCluster
from zincvale.dataplane.claims.competing_attempts import BlockProof
from zincvale.dataplane.claims.messages import ClaimCall, ClaimReply, ClaimStatus
from zincvale.dataplane.claims.node_machine import ClaimsNode
from zincvale.dataplane.claims.readiness import VoterReadiness
from zincvale.dataplane.claims.records import ClaimRow
from zincvale.dataplane.claims.view import ClaimView
from zincvale.dataplane.claims.voter import ClaimVoter
from zincvale.model.identifiers import RequestId

Patch = Callable[[object, str, object], None]
Mutation = Callable[[Patch], None]


def majority_of_one(patch: Patch) -> None:
    """A single vote is enough."""
    original = ClaimView.__init__

    def init(self: ClaimView, version: int, nodes: dict) -> None:
        original(self, version, nodes)
        self.majority = 1

    patch(ClaimView, "__init__", init)


def restarted_voter_votes_at_once(patch: Patch) -> None:
    """An empty voter counts as complete as soon as it knows the nodes."""

    def try_to_complete(self: VoterReadiness, now: float) -> bool:
        self.completed_views.add(self.view_version)
        return False

    patch(VoterReadiness, "try_to_complete", try_to_complete)


def one_source_is_enough(patch: Patch) -> None:
    """A restarted voter votes after it read a single complete source."""

    def read_this_view(self: VoterReadiness, view: ClaimView) -> bool:
        return any(view.version in views for views in self._completed_by_node().values())

    patch(VoterReadiness, "_read_this_view", read_this_view)


def no_dispatch_window(patch: Patch) -> None:
    """A grant covers a dispatch however old it is, and votes of any age add up."""

    def may_dispatch(self: ClaimsNode, request_id: str, now: float) -> bool:
        return request_id in self._requests.granted

    patch(ClaimsNode, "may_dispatch", may_dispatch)


def view_is_ignored(patch: Patch) -> None:
    """A voter votes for callers of any view, and in a new view without reading the old one."""

    def try_to_complete(self: VoterReadiness, now: float) -> bool:
        if self.completed_views or self.view_version > 1:
            self.completed_views.add(self.view_version)
        return original(self, now)

    def reason_not_to_vote(
        self: ClaimVoter, view_version: int, request_id: str
    ) -> ClaimStatus | None:
        return None if self.readiness.completed_views else ClaimStatus.NOT_READY

    def due_pulls(self: VoterReadiness, now: float) -> Iterator[object]:
        return iter(()) if self.view_version > 1 else original_pulls(self, now)

    original = VoterReadiness.try_to_complete
    original_pulls = VoterReadiness.due_pulls
    patch(VoterReadiness, "try_to_complete", try_to_complete)
    patch(VoterReadiness, "due_pulls", due_pulls)
    patch(ClaimVoter, "_reason_not_to_vote", reason_not_to_vote)


def release_after_dispatch(patch: Patch) -> None:
    """An unknown outcome is treated as a refusal, so that the claim is given back."""
    patch(SimulatedCluster, "releases_unknown", True)


def voter_moves_its_vote(patch: Patch) -> None:
    """A voter gives its vote to a preferred attempt that requests it later."""

    def claim(self: ClaimVoter, call: ClaimCall, now: float) -> ClaimReply:
        row = self.votes.find(RequestId(call.request_id), now)
        for competitor in row.other_open_attempts(call.attempt) if row is not None else ():
            if call.attempt < competitor:
                del row.open[competitor]
        return original(self, call, now)

    original = ClaimVoter.claim
    patch(ClaimVoter, "claim", claim)


def unresponsive_owner_is_taken_for_dead(patch: Patch) -> None:
    """A resend closes the attempts of an owner that does not respond, without proof."""
    patch(BlockProof, "proves_never_ran", lambda self, now: True)


def one_block_is_enough(patch: Patch) -> None:
    """One voter without a vote counts as the proof that the attempt never ran."""

    def proves_never_ran(self: BlockProof, now: float) -> bool:
        return all(self._without_vote.get(competitor) for competitor in self.competing)

    patch(BlockProof, "proves_never_ran", proves_never_ran)


def blocks_do_not_last(patch: Patch) -> None:
    """A voter that was counted on never to vote for an attempt votes for it."""
    patch(ClaimRow, "block", lambda self, attempt: None)


def block_is_taken_for_proof(patch: Patch) -> None:
    """An attempt blocked at one voter is closed for all, as the first draft had it."""

    def block(self: ClaimRow, attempt: object) -> None:
        if attempt not in self.open:
            self.closed |= {attempt}  # type: ignore[arg-type]

    patch(ClaimRow, "block", block)


def reads_without_waiting(patch: Patch) -> None:
    """A restarted voter reads at once, while grants of its former self still count."""
    patch(VoterReadiness, "_reading_starts_at", lambda self: self._pending_since)


@contextlib.contextmanager
def mutated(mutation: Mutation) -> Iterator[None]:
    """Break one rule for a while."""
    undo: list[Callable[[], None]] = []

    def patch(target: object, attribute: str, value: object) -> None:
        original = getattr(target, attribute)
        undo.append(lambda: setattr(target, attribute, original))
        setattr(target, attribute, value)

    mutation(patch)
    try:
        yield
    finally:
        for action in reversed(undo):
            action()


CAUGHT_IN: dict[Mutation, str] = {
    majority_of_one: "calm",
    voter_moves_its_vote: "calm",
    release_after_dispatch: "calm",
    unresponsive_owner_is_taken_for_dead: "mixed",
    one_block_is_enough: "restarts",
    block_is_taken_for_proof: "lossy-restarts",
}
"""The profile in which one of the seeds catches each mutation; see also the scenarios."""

SEEDS = range(1, 9)


class MutationsTest(testtools.TestCase):
    def test_each_mutation_is_caught(self) -> None:
        for mutation, profile in CAUGHT_IN.items():
            with mutated(mutation):
                caught = any(self._breaks(profile, seed) for seed in SEEDS)
            self.assertTrue(caught, mutation.__name__)

    def _breaks(self, profile: str, seed: int) -> bool:
        cluster = SimulatedCluster(seed, PROFILES[profile])
        cluster.play()
        return bool(cluster.violations())
