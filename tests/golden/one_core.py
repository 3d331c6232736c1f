"""Runs one core on a real data folder in virtual time; its files depend only on its inputs."""

from __future__ import annotations

import random
from collections import deque
from pathlib import Path
from typing import Any

from zincvale.controlplane.documents.reducer import DocumentReducer
from zincvale.controlplane.intent.reducer import IntentReducer
from zincvale.coordination.config import CoreConfig, InitialCore
from zincvale.coordination.core.machine import CoreMachine
from zincvale.coordination.registers.change_messages import ProposeChange
from zincvale.coordination.registers.recovered_state import RecoveredState
from zincvale.coordination.replication.replica_sets import INTENT_KEY
from zincvale.model.identifiers import Address, MemberId, ZoneName
from zincvale.model.machine import (
    Call,
    CallReceived,
    CallReplied,
    Input,
    Reply,
    Tick,
    Write,
    WriteCompleted,
)
from zincvale.storage.disk import RealDisk
from zincvale.storage.version_files import VersionFiles

CLUSTER = "golden"
CORE = MemberId("core-1")
DOCUMENT_KEY = "document"
TICK_S = 0.05
MAX_WAIT_TICKS = 400
OPERATOR_TOKEN = "operator"
INITIAL_CORE = InitialCore(CORE, Address("10.0.0.1:70"), Address("10.0.0.1:71"), ZoneName("zone-é"))


class OneCore:
    """A cluster of one core.

    Parameters
    ----------
    folder : the data folder.
    incarnation : identifier of this start of the core.
    seed : seed of the core's random source.
    """

    def __init__(self, folder: Path, incarnation: str, seed: int) -> None:
        source = random.Random(seed)
        self.logs: list[tuple[int, dict[str, Any]]] = []
        self.files = VersionFiles(
            folder, RealDisk(), CLUSTER, source, lambda number, fields: self._log(number, fields)
        )
        self.recovered: RecoveredState = self.files.load()
        self.now = 0.0
        self._queue: deque[Input] = deque()
        self._replies: list[Any] = []
        reducers = {INTENT_KEY: IntentReducer(), DOCUMENT_KEY: DocumentReducer()}
        config = CoreConfig(
            cluster_id=CLUSTER,
            member=CORE,
            incarnation=incarnation,
            zone=INITIAL_CORE.zone,
            region="region-1",
            api_address=INITIAL_CORE.api_address,
            peer_address=INITIAL_CORE.peer_address,
            bootstrap=True,
            initial_cores=(INITIAL_CORE,),
            roles=("planner",),
            group_size=1,
        )
        self.machine = CoreMachine(config, self.recovered, reducers, source, self.now)

    def change(self, key: str, order_id: str, base: int | None, body: bytes) -> Any:
        """Send a change and run the core until it replies; return the reply."""
        self._replies.clear()
        order = ProposeChange(key, order_id, base, body)
        self._feed(CallReceived(CORE, OPERATOR_TOKEN, order))
        for _ in range(MAX_WAIT_TICKS):
            if self._replies:
                return self._replies[0]
            self.tick()
        raise AssertionError(f"no reply to {order_id}")

    def tick(self, count: int = 1) -> None:
        """Run the core for `count` ticks."""
        for _ in range(count):
            self.now += TICK_S
            self._feed(Tick())

    def _log(self, number: int, fields: dict[str, Any]) -> None:
        self.logs.append((number, fields))

    def _feed(self, event: Input) -> None:
        self._queue.append(event)
        while self._queue:
            for effect in self.machine.handle(self._queue.popleft(), self.now):
                self._execute(effect)

    def _execute(self, effect: Any) -> None:
        match effect:
            case Write(token, key, number, content):
                error = self.files.write(key, number, content)
                self._queue.append(WriteCompleted(token, error))
            case Call(_, token, message):
                self._queue.append(CallReceived(CORE, f"call:{token}", message))
            case Reply(token, message) if token == OPERATOR_TOKEN:
                self._replies.append(message)
            case Reply(token, message):
                self._queue.append(CallReplied(token.removeprefix("call:"), message))
