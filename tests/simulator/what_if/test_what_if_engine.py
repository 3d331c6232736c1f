"""Parts of the what-if model must give the same results as the parts that they replace."""

from __future__ import annotations

import random

import testtools

from zincvale.dataplane.inference.routing_state import RoutingState
from zincvale.model.control_tables import (
    Directory,
    Intent,
    MemberRow,
    Members,
    Role,
    ServerHealth,
    ServerRow,
)
from zincvale.model.identifiers import (
    Address,
    MemberId,
    ModelName,
    PoolName,
    ServerId,
    ZoneName,
)
from zincvale.model.resources import PoolKind, PoolSpec
from zincvale.simulator.what_if.clock import VirtualClock
from zincvale.simulator.what_if.engine import StepSkippingEngine
from zincvale.simulator.what_if.node import IncrementalRoutingState
from zincvale.simulator.what_if.stores import VirtualStore
from zincvale.standins.deployment import LanguageModelProfile
from zincvale.standins.generation import GenerationKey
from zincvale.standins.language_model.engine import Engine, Finished, Refusal

GIGABYTE = 1_000_000_000
PROFILE = LanguageModelProfile(
    memory_bytes=40 * GIGABYTE, pull_bytes_per_second=10 * GIGABYTE, max_running=3, max_queued=4
)


def _submissions(seed: int) -> list[tuple[float, GenerationKey]]:
    random_source = random.Random(seed)
    at = 0.0
    submissions = []
    for number in range(40):
        at += random_source.expovariate(2.0)
        prompt = "shared words " * 40 + f"question {number} " * random_source.randint(1, 60)
        key = GenerationKey("model", "", prompt, random_source.randint(4, 80))
        submissions.append((at, key))
    return submissions


class _StepByStepDriver:
    """Drives an engine through every step and records first tokens, ends and refusals."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        self.seen: list[tuple[str, str, float]] = []
        self._had_tokens: set[str] = set()

    def advance(self, now: float) -> None:
        while (due := self.engine.next_at()) is not None and due <= now:
            for event in self.engine.advance(due):
                self.record(event, due)

    def record(self, event: object, at: float) -> None:
        run_id = event.run_id  # type: ignore[attr-defined]
        if isinstance(event, Finished):
            self.seen.append(("end", run_id, round(at, 6)))
        elif run_id not in self._had_tokens:
            self._had_tokens.add(run_id)
            self.seen.append(("first", run_id, round(at, 6)))

    def record_refusal(self, refusal: Refusal | None, run_id: str, at: float) -> None:
        if refusal is not None:
            self.seen.append((refusal.value, run_id, round(at, 6)))


class _StepSkippingDriver(_StepByStepDriver):
    engine: StepSkippingEngine

    def advance(self, now: float) -> None:
        while (due := self.engine.next_change_at()) is not None and due <= now:
            self._advance_to(due)
        self._advance_to(now)

    def _advance_to(self, now: float) -> None:
        for timed_event in self.engine.advance_to(now):
            self.record(timed_event.event, timed_event.at)


class StepSkippingEngineTest(testtools.TestCase):
    """Skipping equal steps gives the same event times as executing them."""

    def _run(self, driver: _StepByStepDriver, seed: int) -> list[tuple[str, str, float]]:
        driver.engine.set_free_memory(10 * GIGABYTE)
        driver.engine.begin_warm_up(0.0)
        for number, (at, key) in enumerate(_submissions(seed)):
            driver.advance(at)
            run_id = f"run-{number}"
            driver.record_refusal(driver.engine.submit(run_id, key, [], at), run_id, at)
            if number % 7 == 3:
                driver.engine.cancel(f"run-{number - 1}")
        driver.advance(1000.0)
        return driver.seen

    def test_skipping_steps_gives_the_same_first_tokens_ends_and_refusals(self) -> None:
        for seed in range(5):
            stepped = self._run(_StepByStepDriver(Engine(PROFILE)), seed)
            skipped = self._run(_StepSkippingDriver(StepSkippingEngine(PROFILE)), seed)
            self.assertEqual(sorted(stepped), sorted(skipped))
            self.assertIn("end", {kind for kind, _, _ in skipped})

    def test_a_token_to_be_reported_is_not_skipped(self) -> None:
        engine = StepSkippingEngine(PROFILE)
        engine.set_free_memory(10 * GIGABYTE)
        engine.submit("run", GenerationKey("model", "", "some words", 80), [], 0.0)
        engine.report_at_tokens["run"] = 9
        engine.advance_to(engine.next_change_at() or 0.0)
        engine.advance_to(engine.next_change_at() or 0.0)
        self.assertEqual(9, engine.generated("run"))


class VirtualStoreTest(testtools.TestCase):
    """Pulls share the store's bandwidth, each up to its own limit."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = VirtualClock()
        self.store = VirtualStore(self.clock, 10.0 * GIGABYTE, max_concurrent_pulls=2)
        self.completed: list[tuple[str, float]] = []

    def _pull(self, name: str, size_bytes: int, max_bytes_per_second: float = 1e12) -> int:
        def on_done() -> None:
            self.completed.append((name, round(self.clock.now, 3)))

        return self.store.pull(size_bytes, max_bytes_per_second, on_done)

    def test_pulls_share_the_bandwidth_and_one_beyond_the_limit_is_refused(self) -> None:
        self._pull("one", 10 * GIGABYTE)
        self._pull("two", 5 * GIGABYTE)
        self.assertEqual(0, self._pull("three", GIGABYTE))
        self.clock.run_until(10.0)
        self.assertEqual([("two", 1.0), ("one", 1.5)], self.completed)
        self.assertEqual(15 * GIGABYTE, self.store.pulled_bytes)

    def test_a_pull_with_a_lower_limit_leaves_bandwidth_to_others(self) -> None:
        self._pull("slow", 4 * GIGABYTE, max_bytes_per_second=2.0 * GIGABYTE)
        self._pull("fast", 8 * GIGABYTE)
        self.clock.run_until(10.0)
        self.assertEqual([("fast", 1.0), ("slow", 2.0)], self.completed)

    def test_a_cancelled_pull_counts_its_sent_bytes(self) -> None:
        pull_id = self._pull("one", 10 * GIGABYTE)
        self.clock.run_until(0.5)
        self.store.cancel_pull(pull_id)
        self.clock.run_until(10.0)
        self.assertEqual([], self.completed)
        self.assertEqual(5 * GIGABYTE, round(self.store.pulled_bytes))


class IncrementalRoutingStateTest(testtools.TestCase):
    """An incremental routing state equals the daemon's after a random sequence of updates."""

    def test_tables_are_equal_after_every_update(self) -> None:
        random_source = random.Random(7)
        node = MemberId("node-1")
        states = [RoutingState(ZoneName("a"), node), IncrementalRoutingState(ZoneName("a"), node)]
        names = [ServerId(f"server-{number}") for number in range(4)]
        rows = {name: _row(name, random_source) for name in names}
        for version in range(1, 60):
            changed = random_source.choice(names)
            rows = {**rows, changed: _row(changed, random_source)}
            if version % 20 == 0:
                rows.pop(names[-1], None)
            directory = Directory(1, version, dict(rows))
            for routing_state in states:
                if version % 15 == 1:
                    routing_state.apply_intent(_intent(version))
                    routing_state.apply_members(_members(version))
                routing_state.apply_directory(directory, float(version))
            self.assertEqual(_tables(states[0]), _tables(states[1]))


def _row(name: ServerId, random_source: random.Random) -> ServerRow:
    health = random_source.choice(list(ServerHealth))
    models = frozenset(ModelName(f"m{n}") for n in range(3) if random_source.random() < 0.5)
    return ServerRow(
        server=name,
        address=Address("127.0.0.1:1"),
        pool=PoolName(random_source.choice(["pool-1", "pool-1", "pool-1", "pool-2"])),
        zone=ZoneName("a"),
        kind=PoolKind.LANGUAGE_MODEL,
        health=health,
        incarnation=random_source.choice(["i1", "i1", "i2"]),
        models=models,
        max_running=random_source.choice([2, 8]),
    )


def _intent(version: int) -> Intent:
    spec = PoolSpec(max_concurrent_per_server=4 + version % 3)
    return Intent(version, pools={PoolName("pool-1"): spec, PoolName("pool-2"): PoolSpec()})


def _members(version: int) -> Members:
    count = 2 + version % 4
    rows = {}
    for number in range(1, count + 1):
        member = MemberId(f"node-{number}")
        address = Address("127.0.0.1:1")
        rows[member] = MemberRow(member, Role.NODE, ZoneName("a"), address, address, ready=True)
    return Members(version, rows)


def _tables(routing_state: RoutingState) -> object:
    servers = {
        name: (
            state.row,
            state.ready_since,
            state.share,
            state.concurrency.limit,
            state.concurrency.ceiling,
            state.drained,
            state.failures,
        )
        for name, state in routing_state.servers.items()
    }
    pools = {
        name: sorted(state.server for state in pool.servers)
        for name, pool in routing_state.pools.items()
    }
    return servers, pools, routing_state.directory.version
