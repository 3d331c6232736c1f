"""The narrow races that the rules of the claim protocol are for, played step by step."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import testtools

from tests.dataplane.test_claims_mutations import (
    Mutation,
    bars_do_not_last,
    mutated,
    no_dispatch_window,
    one_source_is_enough,
    reads_without_waiting,
    restarted_holder_votes_at_once,
    view_is_ignored,
)
from tests.dataplane.test_claims_world import PROFILES, World
from zincvale.dataplane.claims.messages import ViewList
from zincvale.dataplane.claims.view import ClaimView
from zincvale.model.identifiers import MemberId

REQUEST = "request-x"
RUNS = 0.5
"""Fate of a dispatch: it runs and is answered."""


@attrs.define
class Cast:
    """A settled world, a request's five holders, and the entry nodes beside them."""

    world: World
    holders: list[MemberId]
    entries: list[MemberId]


def settled() -> Cast:
    world = World(1, PROFILES["calm"])
    world.fixed_fate = RUNS
    world.fixed_dispatch_s = 0.001
    world.run_for(9.0)
    view = world.nodes[MemberId("node-1")].machine.readiness.view
    assert view is not None
    holders = list(view.holders(REQUEST))
    return Cast(world, holders, [name for name in world.nodes if name not in holders])


def run_with_three_votes_and_crash(cast: Cast) -> None:
    """The first entry node runs the request by the first three holders' votes, and dies."""
    world, entry = cast.world, cast.entries[0]
    world.cut(entry, *cast.holders[3:])
    world.attempt(world.nodes[entry], REQUEST)
    run_until(world, lambda: bool(world.runs))
    world.crash(world.nodes[entry])
    world.mend()


def run_until(world: World, is_reached: Callable[[], bool]) -> None:
    end = world.now + 10.0
    while world.now < end and not is_reached():
        world.run_for(0.001)


def resend(cast: Cast, entry: MemberId, *holders: MemberId) -> None:
    """Another entry node asks, and reaches only some holders."""
    world = cast.world
    world.mend()
    others = [holder for holder in world.nodes if holder not in (*holders, entry)]
    world.cut(entry, *others)
    world.attempt(world.nodes[entry], REQUEST)
    world.run_for(5.0)


def restarted_holder_reads_one_source() -> World:
    """A voter forgets its vote and reaches only a holder that never voted."""
    cast = settled()
    world, (first, *_, fourth, fifth) = cast.world, cast.holders
    run_with_three_votes_and_crash(cast)
    world.crash(world.nodes[first])
    world.cut(first, *[name for name in world.nodes if name != fourth])
    world.start(world.nodes[first])
    world.run_for(4.0)
    resend(cast, cast.entries[1], first, fourth, fifth)
    return world


def vote_is_forgotten_between_two_others() -> World:
    """A voter restarts before the other two votes are given, and reads before them too."""
    cast = settled()
    world, (first, second, third, fourth, fifth) = cast.world, cast.holders
    entry = cast.entries[0]
    world.cut(entry, fourth, fifth)
    world.delays[entry, second] = world.delays[entry, third] = 0.4
    world.attempt(world.nodes[entry], REQUEST)
    world.run_for(0.02)
    world.crash(world.nodes[first])
    world.cut(first, entry)
    world.start(world.nodes[first])
    run_until(world, lambda: bool(world.runs))
    world.crash(world.nodes[entry])
    world.run_for(4.0)
    resend(cast, cast.entries[1], first, fourth, fifth)
    return world


def owner_sleeps_through_a_restart_of_all() -> World:
    """An entry node freezes between claim and dispatch; all others restart and claim anew."""
    cast = settled()
    world, entry = cast.world, cast.entries[0]
    world.fixed_dispatch_s = 0.5
    world.attempt(world.nodes[entry], REQUEST)
    world.run_for(0.1)
    world.freeze(world.nodes[entry], 11.0)
    for node in world.nodes.values():
        if node.name != entry:
            world.crash(node)
            world.start(node)
    world.run_for(9.0)
    world.attempt(world.nodes[cast.entries[1]], REQUEST)
    world.run_for(5.0)
    return world


def two_holders_are_replaced() -> World:
    """Two voters leave the registry; the new holders know nothing unless they read it."""
    cast = settled()
    world, (first, second, third, *_) = cast.world, cast.holders
    run_with_three_votes_and_crash(cast)
    registered = {
        name: zone for name, zone in world.views[-1].nodes.items() if name not in (first, second)
    }
    new_holders: set[MemberId] = set()
    while len(new_holders) < 2:
        node = world.add_node()
        view = ClaimView(2, {**registered, node.name: node.zone})
        if node.name in view.holders(REQUEST):
            registered[node.name] = node.zone
            new_holders = set(view.holders(REQUEST)) - set(cast.holders)
    world.views.append(ViewList(2, registered))
    world.run_for(2.0)
    world.cut(cast.entries[1], third, first, second)
    world.attempt(world.nodes[cast.entries[1]], REQUEST)
    world.run_for(5.0)
    return world


def barred_attempt_asks_again() -> World:
    """An attempt barred by four holders asks them again, while the other entry node sleeps."""
    cast = settled()
    world, (_, second, third, fourth, fifth) = cast.world, cast.holders
    owner, other = cast.entries[:2]
    world.cut(owner, other, second, third, fourth, fifth)
    world.attempt(world.nodes[owner], REQUEST)
    world.run_for(0.02)
    world.cut(other, second, third)
    world.attempt(world.nodes[other], REQUEST)
    world.run_for(0.4)
    world.mend_links(other)
    world.cut(other, owner)
    run_until(world, lambda: world.served["BarCall"] >= 5)
    world.freeze(world.nodes[other], 1.0)
    world.mend_links(owner)
    run_until(world, lambda: bool(world.runs))
    world.crash(world.nodes[owner])
    world.run_for(5.0)
    return world


SCENARIOS: dict[Callable[[], World], tuple[Mutation, ...]] = {
    restarted_holder_reads_one_source: (one_source_is_enough, restarted_holder_votes_at_once),
    vote_is_forgotten_between_two_others: (reads_without_waiting,),
    owner_sleeps_through_a_restart_of_all: (no_dispatch_window,),
    two_holders_are_replaced: (view_is_ignored,),
    barred_attempt_asks_again: (bars_do_not_last,),
}


class ScenariosTest(testtools.TestCase):
    def test_nothing_runs_twice(self) -> None:
        for scenario in SCENARIOS:
            world = scenario()
            self.assertEqual([], world.violations(), scenario.__name__)
            self.assertEqual(1, world.runs[REQUEST], scenario.__name__)

    def test_each_rule_is_needed(self) -> None:
        for scenario, mutations in SCENARIOS.items():
            for mutation in mutations:
                with mutated(mutation):
                    world = scenario()
                self.assertEqual([REQUEST], world.violations(), mutation.__name__)
