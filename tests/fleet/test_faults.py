"""Fault files, selectors of targets, fault plans, and the link states of network faults."""

from __future__ import annotations

import random
from typing import Any

import testtools

from tests.fleet.sample_deployment import sample_deployment
from zincvale.fleet.demand import find_load, load_with_faults
from zincvale.fleet.fault_file import built_in_files, read_faults, schedule_of
from zincvale.fleet.fault_plan import Phase, Step, plan_steps
from zincvale.fleet.fault_targets import Selection, inventory_of
from zincvale.fleet.injector import Injector
from zincvale.fleet.link_plan import address_map, needed_pairs, plan_links
from zincvale.fleet.network_state import NetworkState
from zincvale.fleet.relay_links import Connecting, LinkState, Passing
from zincvale.fleet.run_options import find_deployment
from zincvale.model.errors import InvalidInputError
from zincvale.standins.deployment import load_deployment


def steps_of(*faults: dict[str, Any], seed: int = 1) -> list[Step]:
    schedule = schedule_of({"faults": list(faults)}, "test")
    return plan_steps(schedule, inventory_of(sample_deployment()), seed)


class FaultFileTest(testtools.TestCase):
    def error_for(self, fault: dict[str, Any]) -> str:
        error = self.assertRaises(InvalidInputError, schedule_of, {"faults": [fault]}, "test")
        assert isinstance(error, InvalidInputError)
        return str(error)

    def test_errors_for_invalid_faults_name_the_remedy(self) -> None:
        self.assertIn("did you mean 'kill'", self.error_for({"at_s": 1.0, "kind": "kil"}))
        unknown = {"at_s": 1.0, "kind": "kill", "targt": "x", "target": "x"}
        self.assertIn("did you mean 'target'", self.error_for(unknown))
        self.assertIn("'target' is missing", self.error_for({"at_s": 1.0, "kind": "kill"}))
        negative = {"at_s": -1.0, "kind": "kill", "target": "x"}
        self.assertIn("time is negative", self.error_for(negative))
        how = {"at_s": 1.0, "kind": "cut", "groups": [["core-a"]], "how": "gently"}
        self.assertIn("one of lost, refused", self.error_for(how))

    def test_every_built_in_fault_file_can_be_planned_for_both_deployments(self) -> None:
        for name in ("nilebridge", "surtido"):
            folder = find_deployment(name)
            inventory = inventory_of(load_deployment(folder))
            load = find_load(folder, "steady")
            for file in built_in_files():
                schedule = read_faults(file)
                last_s = max(step.at_s for step in plan_steps(schedule, inventory, 1))
                self.assertThat(last_s, testtools.matchers.LessThan(schedule.seconds))
                self.assertTrue(schedule.description, file)
                load_with_faults(load, schedule, schedule.seconds)


class SelectionTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.selection = Selection(inventory_of(sample_deployment()), random.Random(3))

    def test_selectors_are_joined_and_excluded(self) -> None:
        self.assertEqual(
            ["core-a", "node-1", "chat-1"], self.selection.select("zone=zone-a+-kind=store")
        )
        self.assertEqual(["node-1", "node-2", "core-b"], self.selection.select("role=node+core-b"))

    def test_a_named_random_choice_can_be_selected_again(self) -> None:
        chosen = self.selection.choose("role=core", pick=1, named="victim")
        self.assertEqual(1, len(chosen))
        self.assertEqual(chosen, self.selection.choose("@victim"))

    def test_an_empty_selection_is_refused(self) -> None:
        for selector in ("role=cor", "core-z", "@nobody", "core-a+-core-a"):
            self.assertRaises(InvalidInputError, self.selection.choose, selector)


class PlanTest(testtools.TestCase):
    def test_a_fault_with_a_duration_has_a_begin_step_and_an_end_step(self) -> None:
        steps = steps_of({"at_s": 5.0, "kind": "kill", "target": "node-1", "for_s": 2.0})
        self.assertEqual(
            [(5.0, Phase.BEGIN), (7.0, Phase.END)], [(step.at_s, step.phase) for step in steps]
        )

    def test_staggered_targets_begin_one_after_the_other(self) -> None:
        steps = steps_of(
            {"at_s": 5.0, "kind": "restart", "target": "role=core", "stagger_s": 2.0, "down_s": 1.0}
        )
        begun = [(step.at_s, step.targets) for step in steps if step.phase is Phase.BEGIN]
        self.assertEqual([(5.0, ("core-a",)), (7.0, ("core-b",)), (9.0, ("core-c",))], begun)

    def test_random_targets_depend_on_the_seed_only(self) -> None:
        fault = {"at_s": 5.0, "kind": "kill", "target": "all", "pick": 2}
        first = [step.targets for step in steps_of(fault, seed=1)]
        self.assertEqual(first, [step.targets for step in steps_of(fault, seed=1)])
        seeds = {steps_of(fault, seed=seed)[0].targets for seed in range(20)}
        self.assertThat(len(seeds), testtools.matchers.GreaterThan(5))

    def test_a_zone_can_be_evacuated_but_not_killed(self) -> None:
        self.assertEqual(
            ("zone-a",),
            steps_of({"at_s": 1.0, "kind": "evacuate", "target": "zone-a"})[0].targets,
        )
        kill = {"at_s": 1.0, "kind": "kill", "target": "zone-a"}
        self.assertRaises(InvalidInputError, steps_of, kill)

    def test_overlapping_groups_are_refused(self) -> None:
        cut = {"at_s": 1.0, "kind": "cut", "groups": [["core-a"], ["role=core"]]}
        self.assertRaises(InvalidInputError, steps_of, cut)

    def test_every_kind_of_fault_has_a_handler(self) -> None:
        from zincvale.fleet.fault_kinds import FAULT_BY_KIND

        injector = Injector(context=None)  # type: ignore[arg-type]
        self.assertEqual(set(FAULT_BY_KIND), set(injector._handlers))


class NetworkTest(testtools.TestCase):
    def network(self, *steps: Step) -> NetworkState:
        return NetworkState(plan_links(sample_deployment(), needed_pairs(steps)))

    def cut(self, how: str, *groups: list[str]) -> Step:
        return steps_of({"at_s": 1.0, "kind": "cut", "how": how, "groups": list(groups)})[0]

    def test_only_links_between_the_groups_of_a_fault_are_relayed(self) -> None:
        links = plan_links(
            sample_deployment(), needed_pairs([self.cut("lost", ["core-a"], ["node-1"])])
        )
        pairs = {(link.source, link.target) for link in links}
        self.assertEqual({("core-a", "node-1"), ("node-1", "core-a")}, pairs)
        self.assertEqual({"127.90.1.1:7400", "127.90.1.1:8080"}, set(address_map(links, "node-1")))
        self.assertEqual(
            {"127.90.1.1"}, {x.link.source_host for x in links if x.source == "core-a"}
        )

    def test_links_that_start_at_a_back_end_server_are_not_relayed(self) -> None:
        links = plan_links(
            sample_deployment(), needed_pairs([self.cut("lost", ["node-1"], ["chat-1"])])
        )
        self.assertEqual([("node-1", "chat-1")], [(link.source, link.target) for link in links])

    def test_a_cut_changes_link_states_until_it_ends(self) -> None:
        step = self.cut("lost", ["core-a"], ["core-b"])
        network = self.network(step)
        network.begin(step)
        states = network.take_changes().values()
        self.assertEqual({Connecting.IGNORE}, {state.connecting for state in states})
        self.assertEqual({}, network.take_changes())
        network.end(step.fault_id)
        healed = list(network.take_changes().values())
        self.assertEqual([LinkState()] * len(states), healed)

    def test_a_one_way_cut_affects_calls_of_the_first_group_only(self) -> None:
        step = self.cut("one-way", ["core-a"], ["core-b"])
        network = self.network(step)
        network.begin(step)
        self.assertEqual({"core-a"}, {name.split(">")[0] for name in network.take_changes()})

    def test_a_cut_of_replies_lets_requests_pass(self) -> None:
        step = self.cut("replies-lost", ["node-1"], ["lookup-1"])
        network = self.network(step)
        network.begin(step)
        (state,) = network.take_changes().values()
        self.assertEqual((Passing.PASS, Passing.HOLD), (state.request, state.reply))

    def test_two_faults_on_a_link_are_combined(self) -> None:
        cut = self.cut("refused", ["core-a"], ["core-b"])
        delay = steps_of(
            {"at_s": 1.0, "kind": "heal"},
            {"at_s": 1.0, "kind": "delay", "delay_ms": 50.0, "groups": [["core-a"], ["core-b"]]},
        )[1]
        network = self.network(cut)
        network.begin(cut)
        network.begin(delay)
        state = next(iter(network.take_changes().values()))
        self.assertEqual((Connecting.REFUSE, 0.05), (state.connecting, state.delay_s))
        self.assertEqual([cut, delay], network.heal())

    def test_a_link_to_a_process_that_is_down_refuses_connections(self) -> None:
        network = self.network(self.cut("lost", ["core-a"], ["core-b"]))
        network.set_down("core-b", is_down=True)
        changed = network.take_changes()
        self.assertEqual({"core-a"}, {name.split(">")[0] for name in changed})
        self.assertEqual({Connecting.REFUSE}, {state.connecting for state in changed.values()})

    def test_a_core_cut_off_from_the_majority_is_isolated(self) -> None:
        cores = ["core-a", "core-b", "core-c"]
        alone = self.cut("lost", ["core-a"], ["core-b", "core-c"])
        network = self.network(alone)
        network.begin(alone)
        self.assertEqual(["core-a"], network.isolated(cores))
        each = self.cut("lost", ["core-a"], ["core-b"], ["core-c"])
        network = self.network(each)
        network.begin(each)
        self.assertEqual(cores, network.isolated(cores))
