"""Runs many machines in one process with a virtual clock, a simulated network and memory disks."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import Any

import attrs
import orjson
from returns.result import Failure, Result, Success

from zincvale.coordination.changes import ChangeRefused, RowChange
from zincvale.coordination.config import CoreConfig, InitialCore, NodeConfig, Timings
from zincvale.coordination.core.machine import CoreMachine
from zincvale.coordination.core.standby_machine import StandbyConfig, StandbyMachine
from zincvale.coordination.node.machine import NodeMachine
from zincvale.coordination.registers.change_messages import ChangeResult, ProposeChange
from zincvale.coordination.registers.recovered_state import RecoveredKey, RecoveredState
from zincvale.model.identifiers import Address, MemberId, ZoneName
from zincvale.model.machine import (
    Call,
    CallFailed,
    CallReceived,
    CallReplied,
    ClockJumped,
    Input,
    Log,
    MessageReceived,
    Reply,
    Send,
    Tick,
    Write,
    WriteCompleted,
)

TICK_S = 0.05
LATENCY_S = 0.002
CLUSTER_ID = "test"
CORES = ("core-1", "core-2", "core-3")


def reduce_intent(rows: dict[str, bytes], change: bytes) -> Result[list[RowChange], ChangeRefused]:
    """Apply a JSON object of texts by row: null deletes a row and the text `bad` is refused."""
    text_by_row = orjson.loads(change)
    if "bad" in text_by_row.values():
        return Failure(ChangeRefused("row is bad", "make it good"))
    return Success(
        [
            RowChange(row, None if text is None else text.encode())
            for row, text in text_by_row.items()
        ]
    )


@attrs.define
class Disk:
    """An in-memory data folder."""

    identity: str
    files: dict[str, list[tuple[int, bytes]]] = attrs.field(factory=dict)
    error: str = ""

    def write(self, key: str, number: int, content: bytes) -> str:
        if self.error:
            return self.error
        chain = self.files.setdefault(key, [])
        if content[:1] == b"S":
            chain.clear()
        chain.append((number, content))
        return ""

    def load(self) -> RecoveredState:
        keys = {
            key: RecoveredKey([content for _, content in chain], chain[-1][0])
            for key, chain in self.files.items()
        }
        return RecoveredState(self.identity, keys)


@attrs.define
class Process:
    """A running process; `number` identifies its start, `backlog` has the inputs while frozen."""

    machine: Any
    member: str
    number: int
    frozen_at: float | None = None
    backlog: list[Input] = attrs.field(factory=list)


class Cluster:
    """Cores, nodes and standbys that share a virtual clock and a simulated network."""

    def __init__(
        self,
        seed: int = 1,
        nodes: int = 3,
        timings: Timings | None = None,
        roles: Any = ("placer",),
        group_size: int = 3,
    ) -> None:
        self.random = random.Random(seed)
        self.timings = timings or Timings()
        self.roles = tuple(roles)
        self.group_size = group_size
        self.now = 100.0
        self.processes: dict[str, Process] = {}
        self.disks: dict[str, Disk] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.logs: list[tuple[float, str, Log]] = []
        self.replies: dict[str, Any] = {}
        self.acknowledged_version = 0
        self._callers: dict[tuple[str, int, str], tuple[str, int, str]] = {}
        self._events: list[tuple[float, int, str, int, Input]] = []
        self._counter = itertools.count(1)
        for core in CORES:
            self.start_core(core, bootstrap=True)
        for index in range(nodes):
            self.start_node(f"node-{index + 1}")

    # --- processes ------------------------------------------------------------------------

    def address(self, member: str) -> Address:
        """Return the address of a process, derived from the kind and the number in its name."""
        kind, _, number = member.rpartition("-")
        return Address(f"10.0.{0 if kind == 'core' else 1}.{number}:7000")

    def start_core(
        self, member: str, bootstrap: bool = False, seeds: Any = CORES, recover: bool = False
    ) -> None:
        disk = self.disks.setdefault(member, Disk(f"{self.random.getrandbits(64):016x}"))
        initial = tuple(
            InitialCore(
                MemberId(core), self.address(core), self.address(core), ZoneName(f"z{core}")
            )
            for core in CORES
        )
        config = CoreConfig(
            cluster_id=CLUSTER_ID,
            member=MemberId(member),
            incarnation=f"{self.random.getrandbits(32):08x}",
            zone=ZoneName(f"z{member}"),
            region="r",
            api_address=self.address(member),
            peer_address=self.address(member),
            seeds=tuple(self.address(seed) for seed in seeds),
            bootstrap=bootstrap,
            recover=recover,
            initial_cores=initial if bootstrap else (),
            roles=self.roles,
            group_size=self.group_size,
            timings=self.timings,
        )
        machine = CoreMachine(config, disk.load(), {"intent": reduce_intent}, self.random, self.now)
        self._start_process(member, machine)

    def start_node(self, member: str, seeds: Any = CORES) -> None:
        config = NodeConfig(
            cluster_id=CLUSTER_ID,
            member=MemberId(member),
            incarnation=f"{self.random.getrandbits(32):08x}",
            zone=ZoneName("z1"),
            region="r",
            api_address=self.address(member),
            peer_address=self.address(member),
            seeds=tuple(self.address(seed) for seed in seeds),
            timings=self.timings,
        )
        self._start_process(member, NodeMachine(config, self.random, self.now))

    def start_standby(self, member: str, seeds: Any = CORES) -> None:
        config = StandbyConfig(
            member=MemberId(member),
            zone=ZoneName(f"z{member}"),
            seeds=tuple(self.address(seed) for seed in seeds),
        )
        self._start_process(member, StandbyMachine(config, self.random))

    def kill(self, member: str) -> None:
        process = self.processes.pop(member)
        for callee, caller in list(self._callers.items()):
            if callee[:2] == (member, process.number):
                self._fail_call(callee, caller)

    def deliver(self, member: str, event: Input) -> None:
        """Pass an input of its own process to a machine, and send what it sends."""
        self._handle_input(self.processes[member], event)

    def lose_disk(self, member: str) -> None:
        del self.disks[member]

    def freeze(self, member: str) -> None:
        self.processes[member].frozen_at = self.now

    def thaw(self, member: str) -> None:
        process = self.processes[member]
        assert process.frozen_at is not None
        gap_s = self.now - process.frozen_at
        process.frozen_at = None
        backlog, process.backlog = process.backlog, []
        for event in [ClockJumped(gap_s), *backlog]:
            self._handle_input(process, event)

    def cut(self, one: str, other: str) -> None:
        self.cut_links |= {(one, other), (other, one)}

    def isolate(self, members: list[str]) -> None:
        for inside in members:
            for outside in [*CORES, *self.processes]:
                if outside not in members:
                    self.cut(inside, outside)

    def heal(self) -> None:
        self.cut_links.clear()

    def core(self, member: str) -> CoreMachine:
        machine = self.processes[member].machine
        assert isinstance(machine, CoreMachine)
        return machine

    def node(self, member: str) -> NodeMachine:
        machine = self.processes[member].machine
        assert isinstance(machine, NodeMachine)
        return machine

    def nodes(self) -> list[NodeMachine]:
        machines = [process.machine for process in self.processes.values()]
        return [machine for machine in machines if isinstance(machine, NodeMachine)]

    # --- calls and queries ----------------------------------------------------------------

    def call(self, member: str, message: Any) -> str:
        """Call a process locally; the reply appears in `replies` under the returned token."""
        token = f"operator:{next(self._counter)}"
        self._handle_input(self.processes[member], CallReceived(MemberId(member), token, message))
        return token

    def propose(
        self, member: str, idempotency_key: str, change: Any, base_version: int | None = None
    ) -> str:
        return self.call(
            member, ProposeChange("intent", idempotency_key, base_version, orjson.dumps(change))
        )

    def change(
        self, member: str, idempotency_key: str, change: Any, base_version: int | None = None
    ) -> ChangeResult:
        """Propose a change of the intent and run until its result arrives."""
        token = self.propose(member, idempotency_key, change, base_version)
        assert self.run_until(lambda: token in self.replies, 10.0), "no result within 10 s"
        result = self.replies[token]
        assert isinstance(result, ChangeResult)
        return result

    def run_until_ready(self) -> Cluster:
        """Run until every node is ready and return this cluster."""
        assert self.run_until(self.all_ready, 12.0), self.logs
        return self

    def all_ready(self) -> bool:
        return all(node.ready(self.now) for node in self.nodes())

    def owner_of(self, key: str) -> str:
        """Return the owner of a key according to a running core; empty if none knows an owner."""
        for process in self.processes.values():
            if isinstance(process.machine, CoreMachine) and process.frozen_at is None:
                for state in process.machine.state(self.now).keys:
                    if state.key == key and state.owner:
                        return state.owner
        return ""

    # --- time -----------------------------------------------------------------------------

    def run(self, seconds: float) -> None:
        self.run_until(lambda: False, seconds)

    def run_until(self, condition: Any, limit_s: float) -> bool:
        """Run until the condition holds; return False if the time limit passes first."""
        end = self.now + limit_s
        while not condition():
            if not self._events or self._events[0][0] > end:
                self.now = end
                return bool(condition())
            at, _, member, number, event = heapq.heappop(self._events)
            self.now = max(self.now, at)
            process = self.processes.get(member)
            if process is not None and process.number == number:
                self._deliver(process, event)
        return True

    # --- internals ------------------------------------------------------------------------

    def _start_process(self, member: str, machine: Any) -> None:
        process = Process(machine, member, next(self._counter))
        self.processes[member] = process
        self._schedule(self.now + TICK_S * self.random.random(), process, Tick())

    def _schedule(self, at: float, process: Process, event: Input) -> None:
        entry = (at, next(self._counter), process.member, process.number, event)
        heapq.heappush(self._events, entry)

    def _deliver(self, process: Process, event: Input) -> None:
        if isinstance(event, Tick):
            self._schedule(self.now + TICK_S, process, event)
        if process.frozen_at is None:
            self._handle_input(process, event)
        elif not isinstance(event, Tick):
            process.backlog.append(event)

    def _handle_input(self, process: Process, event: Input) -> None:
        for effect in process.machine.handle(event, self.now):
            match effect:
                case Send(to, message):
                    self._send(process, to, MessageReceived(MemberId(process.member), message))
                case Write(token, key, number, content):
                    error = self.disks[process.member].write(key, number, content)
                    self._schedule(self.now, process, WriteCompleted(token, error))
                case Call(to, token, message, timeout_s):
                    self._call(process, to, token, message, timeout_s)
                case Reply(token, message):
                    self._reply(process, token, message)
                case Log():
                    self.logs.append((self.now, process.member, effect))
        self._check_invariants(process)

    def _check_invariants(self, process: Process) -> None:
        """Check that ready nodes have every acknowledged version and a role has one holder."""
        if isinstance(process.machine, NodeMachine):
            if process.machine.ready(self.now):
                applied_version = process.machine.intent().version
                assert applied_version >= self.acknowledged_version, (
                    f"{process.member} serves version {applied_version}, "
                    f"but the acknowledged one is {self.acknowledged_version}"
                )
            return
        holders = {
            other.member
            for other in self.processes.values()
            if isinstance(other.machine, CoreMachine)
            and other.frozen_at is None
            and other.machine.role("placer", self.now).is_leader
        }
        assert len(holders) <= 1, f"several holders of one role: {holders}"

    def _record_reply(self, message: Any) -> None:
        if isinstance(message, ChangeResult) and message.status == "in-force":
            self.acknowledged_version = max(self.acknowledged_version, message.version)
            for process in self.processes.values():
                if process.frozen_at is None:
                    self._check_invariants(process)

    def _resolve(self, to: str) -> str:
        if not to.startswith("@"):
            return to
        return next((member for member in [*self.processes] if self.address(member) == to[1:]), "")

    def _send(self, process: Process, to: str, event: Input) -> None:
        target = self.processes.get(self._resolve(to))
        if target is None or (process.member, target.member) in self.cut_links:
            return
        self._schedule(self.now + LATENCY_S * (0.5 + self.random.random()), target, event)

    def _call(self, process: Process, to: str, token: str, message: Any, timeout_s: float) -> None:
        caller = (process.member, process.number, token)
        target = self.processes.get(self._resolve(to))
        if target is None:
            self._schedule(self.now + LATENCY_S, process, CallFailed(token, "no connection"))
            return
        callee_token = f"call:{next(self._counter)}"
        self._callers[(target.member, target.number, callee_token)] = caller
        call = CallReceived(MemberId(process.member), callee_token, message)
        self._send(process, to, call)
        self._schedule(self.now + timeout_s, process, CallFailed(token, "timeout"))

    def _reply(self, process: Process, token: str, message: Any) -> None:
        caller = self._callers.pop((process.member, process.number, token), None)
        if caller is None:
            self.replies[token] = message
            self._record_reply(message)
            return
        member, number, caller_token = caller
        target = self.processes.get(member)
        if target is not None and target.number == number:
            self._send(process, member, CallReplied(caller_token, message))

    def _fail_call(self, callee: tuple[str, int, str], caller: tuple[str, int, str]) -> None:
        del self._callers[callee]
        member, number, token = caller
        target = self.processes.get(member)
        if target is not None and target.number == number:
            self._schedule(self.now + LATENCY_S, target, CallFailed(token, "connection closed"))
