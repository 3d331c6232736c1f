"""Drives the directory machine in tests and records the exchange as a transcript."""

from __future__ import annotations

import random
from collections.abc import Iterable

import orjson

from zincvale.controlplane.directory.backend_status import PlatformServer, ServerStatus
from zincvale.controlplane.directory.events import (
    DirectoryEffect,
    DirectoryInput,
    DirectoryRoleGained,
    FetchPlatformList,
    PlatformListed,
    ProbeServer,
    PublishRows,
    ServerRemoved,
    ServerReported,
    StatusFailed,
    StatusObserved,
)
from zincvale.controlplane.directory.machine import DirectoryMachine
from zincvale.coordination.changes import TopicView
from zincvale.model.control_tables import ServerHealth
from zincvale.model.identifiers import (
    Address,
    MemberId,
    ModelName,
    PoolName,
    ServerId,
    ZoneName,
)
from zincvale.model.log_events import log_event
from zincvale.model.machine import Log, Tick
from zincvale.model.resources import PoolKind

TICK_S = 0.05


def listed(name: str, port: int = 8000, zone: str = "zone-a") -> PlatformServer:
    """Return a row of the platform's list."""
    address = Address(f"127.0.0.20:{port}")
    kind = PoolKind.LANGUAGE_MODEL
    return PlatformServer(ServerId(name), address, PoolName("chat"), ZoneName(zone), kind)


def status(
    name: str,
    incarnation: str = "i1",
    models: Iterable[str] = (),
    running: int = 0,
    health: ServerHealth = ServerHealth.READY,
) -> ServerStatus:
    """Return a server's decoded status."""
    return ServerStatus(
        server=ServerId(name),
        incarnation=incarnation,
        health=health,
        memory_bytes=1_000,
        used_bytes=10 * running,
        running=running,
        queued=0,
        max_running=4,
        models=frozenset(ModelName(model) for model in models),
        adapters=frozenset(),
        loading=frozenset(),
        unloading=frozenset(),
    )


def status_body(name: str, running: int = 0) -> bytes:
    """Return the body of a server's `GET /status`."""
    return orjson.dumps(
        {
            "server": name,
            "incarnation": "i1",
            "state": "ready",
            "memory_bytes": 1_000,
            "used_bytes": 10,
            "kv_bytes_used": 0,
            "running": running,
            "queued": 0,
            "max_running": 4,
            "models": [{"name": "base-1", "bytes": 5, "state": "loaded"}],
            "adapters": [
                {"name": "tone-1", "base_model": "base-1", "bytes": 1, "state": "loading"}
            ],
        }
    )


class DirectoryDriver:
    """Drives one publisher of the directory and records the exchange as text."""

    def __init__(self, seed: int = 1) -> None:
        self.machine = DirectoryMachine(MemberId("core-1"), random.Random(seed))
        self.now = 50.0
        self.lines: list[str] = []
        self.published: dict[str, bytes] = {}

    def feed(self, event: DirectoryInput) -> list[DirectoryEffect]:
        """Pass in one input and record its effects."""
        effects = self.machine.handle(event, self.now)
        shown = [] if isinstance(event, Tick) else [f"{self.now:.2f} -> {_input_text(event)}"]
        self.lines += shown + [f"{self.now:.2f} <- {_effect_text(effect)}" for effect in effects]
        for effect in effects:
            if isinstance(effect, PublishRows):
                self._apply_publication(effect)
        return effects

    def gain_role(self, epoch: int = 1, rows: dict[str, bytes] | None = None) -> None:
        """Become the publisher."""
        self.feed(DirectoryRoleGained(epoch, TopicView(epoch - 1, 1, rows or {})))

    def list_servers(self, *rows: PlatformServer) -> None:
        """Respond to a fetch of the platform's list."""
        self.feed(PlatformListed(list(rows)))

    def respond(self, name: str, **fields: object) -> list[DirectoryEffect]:
        """Respond successfully to a probe of a server."""
        observed = status(name, **fields)  # type: ignore[arg-type]
        return self.feed(StatusObserved(ServerId(name), observed, self.now))

    def fail(self, name: str, refused: bool = False) -> list[DirectoryEffect]:
        """Fail a probe of a server."""
        return self.feed(StatusFailed(ServerId(name), "timeout", refused, self.now))

    def tick(self, seconds: float = TICK_S) -> list[DirectoryEffect]:
        """Advance the clock in steps of the tick interval."""
        effects = []
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            effects += self.feed(Tick())
        return effects

    def note(self, text: str) -> None:
        """Add a comment to the transcript."""
        self.lines.append(f"# {text}")

    def health(self, name: str) -> str:
        """Return a server's published health."""
        return str(orjson.loads(self.published[name])["health"])

    def transcript(self) -> str:
        """Return the exchange recorded so far."""
        return "\n".join(self.lines)

    def _apply_publication(self, effect: PublishRows) -> None:
        if effect.message.replace:
            self.published = {}
        self.published.update(effect.message.puts)
        for row in effect.message.deletes:
            del self.published[row]


def _input_text(event: DirectoryInput) -> str:
    match event:
        case PlatformListed(rows):
            return f"listed {[f'{row.server} at {row.address}' for row in rows]}"
        case StatusObserved(server, seen, _):
            models = " ".join(sorted(seen.models))
            return f"{server} answers {seen.incarnation} runs {seen.running} holds [{models}]"
        case StatusFailed(server, why, refused, _):
            return f"{server} fails: {'refused' if refused else why}"
    return str(event)


def _effect_text(effect: DirectoryEffect) -> str:
    match effect:
        case FetchPlatformList():
            return "fetch the platform's list"
        case ProbeServer(server, address, _):
            return f"probe {server} at {address}"
        case ServerReported(row, _, _):
            return f"report {row.server} {row.health.value} {row.incarnation}"
        case ServerRemoved(server):
            return f"report {server} gone"
        case Log(number, fields):
            return f"log {log_event(number).name} {fields}"
        case PublishRows(message):
            rows = {name: orjson.loads(content) for name, content in message.puts.items()}
            puts = [
                f"{name} {row['health']} {row['address']} {row['incarnation']} "
                f"runs {row['running']} holds {row['models']} closing {row['closing']}"
                for name, row in rows.items()
            ]
            whole = " whole" if message.replace else ""
            return f"publish{whole} epoch {message.epoch} put {puts} delete {message.deletes}"
    return str(effect)
