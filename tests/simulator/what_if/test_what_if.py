"""Short, seeded what-if runs on the files of the deployments."""

from __future__ import annotations

import io
import tempfile
from contextlib import redirect_stderr, redirect_stdout
from dataclasses import replace
from pathlib import Path
from typing import Any

import attrs
import orjson
import testtools
from testtools.matchers import Contains

from zincvale.fleet.fault_file import schedule_of
from zincvale.fleet.fault_plan import plan_steps
from zincvale.fleet.fault_targets import inventory_of
from zincvale.fleet.run_options import RunOptions
from zincvale.model.errors import InvalidInputError
from zincvale.model.identifiers import ServerId
from zincvale.model.resources import Document
from zincvale.simulator.what_if.commands import what_if
from zincvale.simulator.what_if.comparison import compare
from zincvale.simulator.what_if.fault_plan import plan_faults
from zincvale.simulator.what_if.figures import RunFigures
from zincvale.simulator.what_if.inputs import WhatIfInputs, read_what_if
from zincvale.simulator.what_if.machines import WhatIfScenario
from zincvale.simulator.what_if.report import comparison_lines
from zincvale.simulator.what_if.run import VirtualFleet

SECONDS = 9.0
WALL_CLOCK_FIGURES = ("wall_s", "processor_s", "speed_up")


def _inputs(
    change_file: str = "", seconds: float = SECONDS, seed: int = 1, **options: Any
) -> WhatIfInputs:
    run = RunOptions("nilebridge", "steady", seconds=seconds, seed=seed, **options)
    return read_what_if(run, change_file, 0.0)


def _scenario(faults: list[dict[str, Any]] | None = None, **changes: Any) -> WhatIfScenario:
    scenario = attrs.evolve(_inputs().scenario, **changes)
    if faults:
        inventory = inventory_of(scenario.deployment)
        steps = plan_steps(schedule_of({"faults": faults}, "test"), inventory, scenario.seed)
        scenario = attrs.evolve(scenario, faults=plan_faults(steps, frozenset()))
    return scenario


def _document(kind: str, name: str, **spec: Any) -> dict[str, Any]:
    return {"kind": kind, "name": name, "spec": spec}


def _merged(document: Document, patch: dict[str, Any]) -> Document:
    if (document.kind, document.name) != (patch["kind"], patch["name"]):
        return document
    return replace(document, spec={**(document.spec or {}), **patch["spec"]})


def _comparable(figures: RunFigures) -> dict[str, Any]:
    plain = figures.to_json()
    return {name: value for name, value in plain.items() if name not in WALL_CLOCK_FIGURES}


class WhatIfRunTest(testtools.TestCase):
    """Effects of changes and faults on the figures of a run."""

    def test_the_same_seed_gives_the_same_figures(self) -> None:
        first = VirtualFleet(_scenario()).run()
        second = VirtualFleet(_scenario()).run()
        other = VirtualFleet(_scenario(seed=2)).run()
        self.assertEqual(_comparable(first), _comparable(second))
        self.assertNotEqual(_comparable(first), _comparable(other))

    def test_every_request_is_answered_and_none_runs_twice(self) -> None:
        fleet = VirtualFleet(_scenario())
        figures = fleet.run()
        quotes = figures.routes["quotes"]
        self.assertEqual(quotes.offered, quotes.answered)
        self.assertGreater(quotes.attempts, quotes.offered)
        runs = sum(server.stats.runs for name, server in fleet.servers.items() if "quotes" in name)
        self.assertEqual(quotes.offered, runs)

    def test_evacuating_zones_lowers_the_answered_share_and_reopening_raises_it(self) -> None:
        # Lookup servers hold no models, so that loads after the cold start don't affect the result.
        # 10 lookups arrive per second; the server of each zone handles 4.5.
        closed = [_document("Zone", zone, evacuated=True) for zone in ("zone-a", "zone-b")]
        opened = [_document("Zone", zone, evacuated=False) for zone in ("zone-a", "zone-b")]
        scenario = _scenario(rate_factor=2.0)
        without = VirtualFleet(scenario).run().routes["quotes"]
        worse = VirtualFleet(attrs.evolve(scenario, change=tuple(closed))).run().routes["quotes"]
        self.assertGreater(worse.refused_attempts, without.refused_attempts + 20)
        self.assertLess(worse.answered, 0.9 * without.answered)
        self.assertGreater(worse.total_ms["p50"], 1.5 * without.total_ms["p50"])
        documents = scenario.documents
        for patch in closed:
            documents = [_merged(document, patch) for document in documents]
        reopening = attrs.evolve(scenario, documents=documents, change=tuple(opened))
        better = VirtualFleet(reopening).run().routes["quotes"]
        self.assertLess(better.refused_attempts, worse.refused_attempts)
        self.assertGreater(better.answered, worse.answered)
        self.assertLess(better.total_ms["p50"], worse.total_ms["p50"])

    def test_a_drained_server_gets_no_request_after_the_delivery(self) -> None:
        change = (_document("Server", "overnight-1", drained=True),)
        scenario = _scenario(change=change, apply_at_s=4.0)
        fleet = VirtualFleet(scenario)
        fleet.run()
        timings = scenario.timings
        longest_s = timings.intent_to_node_s * (1 + timings.delivery_jitter)
        closed_at = timings.warm_up_s + 4.0 + longest_s + timings.server_hop_s
        run_start_times = fleet.servers[ServerId("overnight-1")].stats.run_start_times
        self.assertGreater(len(run_start_times), 0)
        self.assertLessEqual(max(run_start_times), closed_at)
        other_times = fleet.servers[ServerId("overnight-2")].stats.run_start_times
        self.assertGreater(max(other_times), closed_at)

    def test_an_evacuated_zone_gets_no_request(self) -> None:
        faults = [{"kind": "evacuate", "at_s": 4.0, "target": "zone-a"}]
        scenario = _scenario(faults)
        fleet = VirtualFleet(scenario)
        figures = fleet.run()
        closed_at = scenario.timings.warm_up_s + 4.0 + 0.5
        for server in fleet.servers.values():
            if server.platform_row.zone == "zone-a":
                self.assertEqual([], [at for at in server.stats.run_start_times if at > closed_at])
        self.assertEqual(figures.total("offered"), figures.total("answered"))
        self.assertFalse(fleet.nodes["node-1"].is_ready)

    def test_chats_are_answered_when_a_server_is_killed_and_restarted(self) -> None:
        faults = [{"kind": "kill", "at_s": 5.0, "for_s": 3.0, "target": "conversation-1"}]
        fleet = VirtualFleet(_scenario(faults))
        chats = fleet.run().routes["chats"]
        self.assertEqual(chats.offered, chats.answered)
        self.assertEqual(2, fleet.servers[ServerId("conversation-1")].incarnation)

    def test_a_complete_stream_that_is_resent_is_answered_from_the_record(self) -> None:
        run = RunOptions("surtido", "steady", seconds=SECONDS, seed=1)
        fleet = VirtualFleet(read_what_if(run, "", 0.0).scenario)
        slots = fleet.run().routes["picker-slots"]
        self.assertNotIn("interrupted", slots.outcomes)
        self.assertGreater(slots.attempts, slots.offered + slots.refused_attempts)

    def test_callers_of_a_killed_node_retry_at_another_node(self) -> None:
        faults = [{"kind": "restart", "at_s": 5.0, "down_s": 1.0, "target": "node-1"}]
        fleet = VirtualFleet(_scenario(faults))
        figures = fleet.run()
        self.assertTrue(fleet.nodes["node-1"].is_ready)
        summaries = figures.routes["summaries"]
        self.assertEqual(summaries.offered, summaries.answered)

    def test_slow_servers_raise_the_latency(self) -> None:
        slow = [
            {
                "kind": "behaviour",
                "at_s": 0.0,
                "target": "pool=conversation",
                "behaviour": {"kind": "slow", "factor": 3.0},
            }
        ]
        without = VirtualFleet(_scenario()).run().routes["chats"]
        slowed = VirtualFleet(_scenario(slow)).run().routes["chats"]
        self.assertGreater(slowed.total_ms["p50"], 1.5 * without.total_ms["p50"])


class WhatIfCommandTest(testtools.TestCase):
    """Checks of the inputs, and the report of the command."""

    def _folder(self) -> Path:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return Path(folder.name)

    def _file(self, text: str) -> str:
        path = self._folder() / "change.yaml"
        path.write_text(text, encoding="utf-8")
        return str(path)

    def test_an_invalid_change_raises_an_error_that_names_the_remedy(self) -> None:
        dangling = self._file("{kind: Route, name: quotes, spec: {pool: no-such}}")
        error = self.assertRaises(InvalidInputError, _inputs, dangling)
        self.assertThat(str(error), Contains("Route quotes: spec.pool"))
        self.assertThat(error.remedy, Contains("no-such"))
        mistyped = self._file("{kind: Pool, name: overnight, spec: {max_queue: many}}")
        self.assertRaises(InvalidInputError, _inputs, mistyped)
        self.assertRaises(InvalidInputError, _inputs, "no-such-file.yaml")
        self.assertRaises(InvalidInputError, _inputs, self._file(""))

    def test_faults_that_are_not_modelled_are_listed(self) -> None:
        listed = "\n".join(_inputs(faults="everything").not_modelled)
        for kind in ("freeze", "cut", "disk-lost", "restart of core-a", "elections"):
            self.assertThat(listed, Contains(kind))
        self.assertNotIn("drain:", listed)

    def test_the_report_shows_both_runs_side_by_side(self) -> None:
        change = self._file("{kind: Server, name: overnight-1, spec: {drained: true}}")
        comparison = compare(_inputs(change, seconds=4.0))
        lines = comparison_lines(comparison)
        header = next(line for line in lines if "without" in line)
        self.assertEqual(["without", "with", "difference"], header.split())
        self.assertIn("quotes", lines)
        self.assertTrue(any(line.startswith("  pulled, GB") for line in lines))
        self.assertTrue(any("times real time" in line for line in lines))
        loaded = orjson.loads(orjson.dumps(comparison.to_json()))
        self.assertEqual(
            loaded["without"]["routes"]["quotes"]["offered"],
            loaded["with"]["routes"]["quotes"]["offered"],
        )

    def test_the_command_exits_with_2_on_a_bad_option(self) -> None:
        for options in ({"output": "xml"}, {"plot": "x.txt"}, {"deployment": "nowhere"}):
            output = io.StringIO()
            with redirect_stderr(output):
                exit_error = self.assertRaises(SystemExit, what_if, **options)
            self.assertEqual(2, exit_error.code)
            self.assertThat(output.getvalue(), Contains("error: "))

    def test_the_command_writes_a_plot(self) -> None:
        folder = self._folder()
        with redirect_stdout(io.StringIO()) as output:
            what_if(seconds=2.0, output="json", plot=str(folder / "plot.png"))
        self.assertIsNone(orjson.loads(output.getvalue())["with"])
        self.assertGreater((folder / "plot.png").stat().st_size, 10_000)
