"""Digests of the cluster simulator, of claims run on it, and of the register exploration."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any
from unittest import mock

from tests.golden.decision_log import DecisionLog, calls_observed
from zincvale.dataplane.claims.node_machine import ClaimsNode
from zincvale.simulator.claims.run import ClaimsRun
from zincvale.simulator.cluster.simulation import Simulation
from zincvale.simulator.register_exploration import Explorer
from zincvale.simulator.schedules.drawing import draw_schedule
from zincvale.simulator.schedules.run import ScheduleRun

CLUSTER_SEEDS = range(1, 101)
CLAIMS_SEEDS = range(1, 21)
EXPLORED_STATES = 3_000
WALKS = 60
WALK_SEEDS = (1, 2, 3)


def _effects_recorded(log: DecisionLog) -> Any:
    """Record every effect with its process, the true time and the time of the process's clock."""

    def record_effect(
        world: Simulation, process: Any, effect: Any, source: Any, inputs: Any
    ) -> None:
        source_member = source.member if source is not None else ""
        now = world.now
        log.effect(effect, process.member, process.run, now, process.local(now), source_member)

    return calls_observed(Simulation, Simulation._execute, record_effect)


def cluster_digest(seed: int) -> str:
    log = DecisionLog()
    schedule = draw_schedule(seed)
    log.add("schedule", schedule)
    with _effects_recorded(log):
        run = ScheduleRun(schedule)
        log.add("outcome", run.execute())
    log.add("attempts", run.operators.attempts)
    return log.digest()


def claims_digest(seed: int) -> str:
    log = DecisionLog()
    handle = ClaimsNode.handle

    def recording_handle(node: ClaimsNode, event: Any, now: float) -> Any:
        effects = handle(node, event, now)
        for effect in effects:
            log.effect(effect, now)
        return effects

    with _effects_recorded(log):
        run = ClaimsRun(seed)
        with mock.patch.object(ClaimsNode, handle.__name__, recording_handle):
            log.add("outcome", run.execute())
    log.add("runs", dict(run.callers.runs))
    return log.digest()


def _explorer_digest(explore: Callable[[Explorer], Any]) -> str:
    """Digest the result, and all messages and flights in the order of their discovery."""
    log = DecisionLog()
    explorer = Explorer()
    log.add("found", explore(explorer))
    for message in explorer._messages:
        log.add("message", message)
    for flight in explorer._flights:
        log.add("flight", flight)
    for chosen in explorer._chosen:
        log.add("chosen", chosen)
    return log.digest()


def exploration_digest() -> str:
    return _explorer_digest(lambda explorer: explorer.explore((1, 1), EXPLORED_STATES))


def walks_digest(seed: int) -> str:
    return _explorer_digest(lambda explorer: explorer.walk((2, 2), WALKS, seed))


CLUSTER_RUNS = {str(seed): partial(cluster_digest, seed) for seed in CLUSTER_SEEDS}
CLAIMS_RUNS = {str(seed): partial(claims_digest, seed) for seed in CLAIMS_SEEDS}
REGISTER_RUNS = {
    "explored": exploration_digest,
    **{f"walks {seed}": partial(walks_digest, seed) for seed in WALK_SEEDS},
}
