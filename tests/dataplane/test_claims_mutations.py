"""Each rule of the claim protocol is needed: without it some seed runs a request twice."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

import testtools

from tests.dataplane.test_claims_world import PROFILES, World
from zincvale.dataplane.claims.competing_attempts import Bars
from zincvale.dataplane.claims.messages import ClaimCall, ClaimReply, ClaimStatus
from zincvale.dataplane.claims.node_machine import ClaimsNode
from zincvale.dataplane.claims.readiness import HolderReadiness
from zincvale.dataplane.claims.records import ClaimRow
from zincvale.dataplane.claims.view import ClaimView
from zincvale.dataplane.claims.voter import ClaimHolder
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


def restarted_holder_votes_at_once(patch: Patch) -> None:
    """An empty holder counts as complete as soon as it knows the nodes."""

    def judge(self: HolderReadiness, now: float) -> bool:
        self.completed.add(self.view_version)
        return False

    patch(HolderReadiness, "judge", judge)


def one_source_is_enough(patch: Patch) -> None:
    """A restarted holder votes after it read a single complete source."""

    def read_this_view(self: HolderReadiness, view: ClaimView) -> bool:
        return any(view.version in views for views in self._completed_by_node().values())

    patch(HolderReadiness, "_read_this_view", read_this_view)


def no_dispatch_window(patch: Patch) -> None:
    """A grant covers a dispatch however old it is, and votes of any age add up."""

    def may_dispatch(self: ClaimsNode, request_id: str, now: float) -> bool:
        return request_id in self._requests.granted

    patch(ClaimsNode, "may_dispatch", may_dispatch)


def view_is_ignored(patch: Patch) -> None:
    """A holder votes for callers of any view, and in a new view without reading the old one."""

    def judge(self: HolderReadiness, now: float) -> bool:
        if self.completed or self.view_version > 1:
            self.completed.add(self.view_version)
        return original(self, now)

    def not_voting(self: ClaimHolder, view_version: int, request_id: str) -> ClaimStatus | None:
        return None if self.readiness.completed else ClaimStatus.NOT_READY

    def due_pulls(self: HolderReadiness, now: float) -> Iterator[object]:
        return iter(()) if self.view_version > 1 else original_pulls(self, now)

    original = HolderReadiness.judge
    original_pulls = HolderReadiness.due_pulls
    patch(HolderReadiness, "judge", judge)
    patch(HolderReadiness, "due_pulls", due_pulls)
    patch(ClaimHolder, "_not_voting", not_voting)


def release_after_dispatch(patch: Patch) -> None:
    """An unknown outcome is treated as a refusal, so that the claim is given back."""
    patch(World, "releases_unknown", True)


def holder_moves_its_vote(patch: Patch) -> None:
    """A holder gives its vote to a preferred attempt that asks later."""

    def claim(self: ClaimHolder, call: ClaimCall, now: float) -> ClaimReply:
        row = self.held.find(RequestId(call.request_id), now)
        for rival in row.others(call.attempt) if row is not None else ():
            if call.attempt < rival:
                del row.open[rival]
        return original(self, call, now)

    original = ClaimHolder.claim
    patch(ClaimHolder, "claim", claim)


def silent_owner_is_taken_for_dead(patch: Patch) -> None:
    """A resend closes the attempts of an owner that does not answer, without proof."""
    patch(Bars, "prove_never_ran", lambda self, now: True)


def one_bar_is_enough(patch: Patch) -> None:
    """One holder without a vote counts as the proof that the attempt never ran."""

    def prove_never_ran(self: Bars, now: float) -> bool:
        return all(self._without_vote.get(rival) for rival in self.rivals)

    patch(Bars, "prove_never_ran", prove_never_ran)


def bars_do_not_last(patch: Patch) -> None:
    """A holder that was counted on never to vote for an attempt votes for it."""
    patch(ClaimRow, "bar", lambda self, attempt: None)


def bar_is_taken_for_proof(patch: Patch) -> None:
    """An attempt barred at one holder is closed for all, as the first draft had it."""

    def bar(self: ClaimRow, attempt: object) -> None:
        if attempt not in self.open:
            self.closed |= {attempt}  # type: ignore[arg-type]

    patch(ClaimRow, "bar", bar)


def reads_without_waiting(patch: Patch) -> None:
    """A restarted holder reads at once, while grants of its former self still count."""
    patch(HolderReadiness, "_reads_from", lambda self: self._pending_since)


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
    holder_moves_its_vote: "calm",
    release_after_dispatch: "calm",
    silent_owner_is_taken_for_dead: "mixed",
    one_bar_is_enough: "restarts",
    bar_is_taken_for_proof: "lossy-restarts",
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
        world = World(seed, PROFILES[profile])
        world.play()
        return bool(world.violations())
