"""Each rule of the claim protocol is necessary: without it, some seed runs a request twice."""

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
    """A single vote counts as a majority."""
    original = ClaimView.__init__

    def init(self: ClaimView, version: int, nodes: dict) -> None:
        original(self, version, nodes)
        self.majority = 1

    patch(ClaimView, "__init__", init)


def restarted_voter_votes_at_once(patch: Patch) -> None:
    """A restarted voter is complete as soon as it knows the registered nodes."""

    def try_to_complete(self: VoterReadiness, now: float) -> bool:
        self.completed_views.add(self.view_version)
        return False

    patch(VoterReadiness, "try_to_complete", try_to_complete)


def one_source_is_enough(patch: Patch) -> None:
    """A restarted voter is complete after it has read a single complete node."""

    def read_this_view(self: VoterReadiness, view: ClaimView) -> bool:
        return any(view.version in views for views in self._completed_by_node().values())

    patch(VoterReadiness, "_read_this_view", read_this_view)


def no_dispatch_window(patch: Patch) -> None:
    """A grant permits a dispatch however old it is."""

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


def unknown_outcome_releases_the_claim(patch: Patch) -> None:
    """An unknown outcome is treated as a refusal, so that the claim is released."""
    patch(SimulatedCluster, "releases_unknown", True)


def voter_moves_its_vote(patch: Patch) -> None:
    """A voter withdraws its vote in favour of a preferred attempt that requests it later."""

    def claim(self: ClaimVoter, call: ClaimCall, now: float) -> ClaimReply:
        row = self.votes.find(RequestId(call.request_id), now)
        for competitor in row.other_open_attempts(call.attempt) if row is not None else ():
            if call.attempt < competitor:
                del row.open[competitor]
        return original(self, call, now)

    original = ClaimVoter.claim
    patch(ClaimVoter, "claim", claim)


def unresponsive_owner_counts_as_crashed(patch: Patch) -> None:
    """A resend closes the attempts of an owner that does not respond, without proof."""
    patch(BlockProof, "proves_never_ran", lambda self, now: True)


def one_block_is_enough(patch: Patch) -> None:
    """A single voter that never voted for an attempt is taken for proof that it never ran."""

    def proves_never_ran(self: BlockProof, now: float) -> bool:
        return all(self._without_vote.get(competitor) for competitor in self.competing)

    patch(BlockProof, "proves_never_ran", proves_never_ran)


def blocks_are_not_stored(patch: Patch) -> None:
    """A voter does not store a block, so that it can still vote for the attempt."""
    patch(ClaimRow, "block", lambda self, attempt: None)


def block_at_one_voter_counts_as_proof(patch: Patch) -> None:
    """An attempt blocked at one voter is closed for all, as in the first draft of the protocol."""

    def block(self: ClaimRow, attempt: object) -> None:
        if attempt not in self.open:
            self.closed |= {attempt}  # type: ignore[arg-type]

    patch(ClaimRow, "block", block)


def restarted_voter_reads_at_once(patch: Patch) -> None:
    """A restarted voter reads immediately, while votes of its former process still count."""
    patch(VoterReadiness, "_reading_starts_at", lambda self: self._pending_since)


@contextlib.contextmanager
def mutated(mutation: Mutation) -> Iterator[None]:
    """Apply one mutation inside the context."""
    restorations: list[Callable[[], None]] = []

    def patch(target: object, attribute: str, value: object) -> None:
        original = getattr(target, attribute)
        restorations.append(lambda: setattr(target, attribute, original))
        setattr(target, attribute, value)

    mutation(patch)
    try:
        yield
    finally:
        for action in reversed(restorations):
            action()


DETECTING_PROFILES: dict[Mutation, str] = {
    majority_of_one: "calm",
    voter_moves_its_vote: "calm",
    unknown_outcome_releases_the_claim: "calm",
    unresponsive_owner_counts_as_crashed: "mixed",
    one_block_is_enough: "restarts",
    block_at_one_voter_counts_as_proof: "lossy-restarts",
}
"""The profile in which at least one seed detects each mutation; `test_scenarios` has the others."""

SEEDS = range(1, 9)


class MutationsTest(testtools.TestCase):
    def test_each_mutation_violates_the_guarantee_with_some_seed(self) -> None:
        for mutation, profile in DETECTING_PROFILES.items():
            with mutated(mutation):
                is_detected = any(self._violates_guarantee(profile, seed) for seed in SEEDS)
            self.assertTrue(is_detected, mutation.__name__)

    def _violates_guarantee(self, profile: str, seed: int) -> bool:
        cluster = SimulatedCluster(seed, PROFILES[profile])
        cluster.run_workload()
        return bool(cluster.violations())
