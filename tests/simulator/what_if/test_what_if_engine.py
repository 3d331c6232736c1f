"""The parts of the what-if model that stand for a stand-in's must do the same."""

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
    source = random.Random(seed)
    at = 0.0
    submissions = []
    for number in range(40):
        at += source.expovariate(2.0)
        prompt = "shared words " * 40 + f"question {number} " * source.randint(1, 60)
        key = GenerationKey("model", "", prompt, source.randint(4, 80))
        submissions.append((at, key))
    return submissions


class _StepByStep:
    """Drives an engine through every step and notes first tokens, ends and refusals."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        self.seen: list[tuple[str, str, float]] = []
        self._had_tokens: set[str] = set()

    def advance(self, now: float) -> None:
        while (due := self.engine.next_at()) is not None and due <= now:
            for event in self.engine.advance(due):
                self.note(event, due)

    def note(self, event: object, at: float) -> None:
        run_id = event.run_id  # type: ignore[attr-defined]
        if isinstance(event, Finished):
            self.seen.append(("end", run_id, round(at, 6)))
        elif run_id not in self._had_tokens:
            self._had_tokens.add(run_id)
            self.seen.append(("first", run_id, round(at, 6)))

    def refused(self, refusal: Refusal | None, run_id: str, at: float) -> None:
        if refusal is not None:
            self.seen.append((refusal.value, run_id, round(at, 6)))


class _StepSkipping(_StepByStep):
    engine: StepSkippingEngine

    def advance(self, now: float) -> None:
        while (due := self.engine.next_change_at()) is not None and due <= now:
            self._take(due)
        self._take(now)

    def _take(self, now: float) -> None:
        for moment in self.engine.advance_to(now):
            self.note(moment.event, moment.at)


class StepSkippingEngineTest(testtools.TestCase):
    """Counting equal steps gives the times that carrying them out gives."""

    def _run(self, driver: _StepByStep, seed: int) -> list[tuple[str, str, float]]:
        driver.engine.set_free_memory(10 * GIGABYTE)
        driver.engine.begin_warm_up(0.0)
        for number, (at, key) in enumerate(_submissions(seed)):
            driver.advance(at)
            run_id = f"run-{number}"
            driver.refused(driver.engine.submit(run_id, key, [], at), run_id, at)
            if number % 7 == 3:
                driver.engine.cancel(f"run-{number - 1}")
        driver.advance(1000.0)
        return driver.seen

    def test_same_first_tokens_ends_and_refusals(self) -> None:
        for seed in range(5):
            stepped = self._run(_StepByStep(Engine(PROFILE)), seed)
            skipped = self._run(_StepSkipping(StepSkippingEngine(PROFILE)), seed)
            self.assertEqual(sorted(stepped), sorted(skipped))
            self.assertIn("end", {kind for kind, _, _ in skipped})

    def test_a_marked_token_is_not_skipped(self) -> None:
        engine = StepSkippingEngine(PROFILE)
        engine.set_free_memory(10 * GIGABYTE)
        engine.submit("run", GenerationKey("model", "", "some words", 80), [], 0.0)
        engine.marks["run"] = 9
        engine.advance_to(engine.next_change_at() or 0.0)
        engine.advance_to(engine.next_change_at() or 0.0)
        self.assertEqual(9, engine.generated("run"))


class VirtualStoreTest(testtools.TestCase):
    """Pulls share the store's bandwidth, each up to its cap."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = VirtualClock()
        self.store = VirtualStore(self.clock, 10.0 * GIGABYTE, max_concurrent_pulls=2)
        self.ended: list[tuple[str, float]] = []

    def _pull(self, name: str, size_bytes: int, cap: float = 1e12) -> int:
        def done() -> None:
            self.ended.append((name, round(self.clock.now, 3)))

        return self.store.pull(size_bytes, cap, done)

    def test_shares_and_limit(self) -> None:
        self._pull("one", 10 * GIGABYTE)
        self._pull("two", 5 * GIGABYTE)
        self.assertEqual(0, self._pull("three", GIGABYTE))
        self.clock.run_until(10.0)
        self.assertEqual([("two", 1.0), ("one", 1.5)], self.ended)
        self.assertEqual(15 * GIGABYTE, self.store.pulled_bytes)

    def test_a_capped_pull_leaves_its_share_to_others(self) -> None:
        self._pull("slow", 4 * GIGABYTE, cap=2.0 * GIGABYTE)
        self._pull("fast", 8 * GIGABYTE)
        self.clock.run_until(10.0)
        self.assertEqual([("fast", 1.0), ("slow", 2.0)], self.ended)

    def test_an_abandoned_pull_counts_what_was_sent(self) -> None:
        number = self._pull("one", 10 * GIGABYTE)
        self.clock.run_until(0.5)
        self.store.abandon(number)
        self.clock.run_until(10.0)
        self.assertEqual([], self.ended)
        self.assertEqual(5 * GIGABYTE, round(self.store.pulled_bytes))


class IncrementalRoutingStateTest(testtools.TestCase):
    """A node's tables are the same as the daemon's after any sequence of deliveries."""

    def test_same_tables(self) -> None:
        source = random.Random(7)
        node = MemberId("node-1")
        states = [RoutingState(ZoneName("a"), node), IncrementalRoutingState(ZoneName("a"), node)]
        names = [ServerId(f"server-{number}") for number in range(4)]
        rows = {name: _row(name, source) for name in names}
        for version in range(1, 60):
            changed = source.choice(names)
            rows = {**rows, changed: _row(changed, source)}
            if version % 20 == 0:
                rows.pop(names[-1], None)
            directory = Directory(1, version, dict(rows))
            for routing_state in states:
                if version % 15 == 1:
                    routing_state.apply_intent(_intent(version))
                    routing_state.apply_members(_members(version))
                routing_state.apply_directory(directory, float(version))
            self.assertEqual(_tables(states[0]), _tables(states[1]))


def _row(name: ServerId, source: random.Random) -> ServerRow:
    health = source.choice(list(ServerHealth))
    models = frozenset(ModelName(f"m{n}") for n in range(3) if source.random() < 0.5)
    return ServerRow(
        server=name,
        address=Address("127.0.0.1:1"),
        pool=PoolName(source.choice(["pool-1", "pool-1", "pool-1", "pool-2"])),
        zone=ZoneName("a"),
        kind=PoolKind.LANGUAGE_MODEL,
        health=health,
        incarnation=source.choice(["i1", "i1", "i2"]),
        models=models,
        max_running=source.choice([2, 8]),
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
