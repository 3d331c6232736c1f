"""The emulated fleet: servers, stores, replicas and requests, and the orders that policies give.

Orders, loads, unloads and events of servers are written to a journal, which `journal_checks`
compares with the limits.
"""

from __future__ import annotations

import enum
from collections import deque

import attrs


class OrderResult(enum.Enum):
    """Result of an order: accepted, or the reason why the server refused it."""

    ACCEPTED = "accepted"
    MEMORY = "memory"
    BUSY = "busy"
    BASE_MODEL = "base-model"
    NOT_HELD = "not-held"
    DOWN = "down"


@attrs.frozen
class ItemSpec:
    """A model, or an adapter of the model `base`, which is empty for a model."""

    name: str
    item_bytes: int
    store: str
    pool: str
    base: str = ""
    min_replicas: int = 0


@attrs.frozen
class EmulatedStoreSpec:
    """The bandwidth of a weight store and its limit of concurrent loads."""

    name: str
    bytes_per_second: int
    max_concurrent_loads: int


@attrs.frozen
class EmulatedServerSpec:
    """A language-model server; `kv_bytes` of its memory are reserved for the KV cache."""

    name: str
    pool: str
    zone: str
    memory_bytes: int
    kv_bytes: int
    pull_bytes_per_second: int
    max_running: int
    max_loads: int = 2


@attrs.define(eq=False)
class EmulatedReplica:
    """An item on a server; it is loaded when `left_bytes`, the bytes still to transfer, is 0."""

    item_bytes: int
    left_bytes: float
    used_at: float = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether it is loaded."""
        return self.left_bytes <= 0.0


@attrs.define(eq=False)
class EmulatedServer:
    """The current state of one server."""

    spec: EmulatedServerSpec
    is_up: bool = True
    drained: bool = False
    incarnation: int = 1
    up_since: float = 0.0
    replicas: dict[str, EmulatedReplica] = attrs.field(factory=dict)
    draining: frozenset[str] = frozenset()
    running: int = 0
    running_by_pair: dict[tuple[str, str], int] = attrs.field(factory=dict)
    """Running requests by model and adapter."""

    @property
    def is_serving(self) -> bool:
        """Whether the server accepts requests: it is up and not drained."""
        return self.is_up and not self.drained

    @property
    def used_bytes(self) -> int:
        """Memory that weights use, those being loaded included."""
        return sum(replica.item_bytes for replica in self.replicas.values())

    @property
    def weight_bytes(self) -> int:
        """Memory that weights may take."""
        return self.spec.memory_bytes - self.spec.kv_bytes

    def running_on(self, name: str) -> int:
        """Return how many running requests use a model or adapter."""
        return sum(count for pair, count in self.running_by_pair.items() if name in pair)

    def loading(self) -> list[str]:
        """Return the names being loaded."""
        return [name for name, replica in self.replicas.items() if not replica.is_ready]


@attrs.frozen
class Arrival:
    """A request's arrival, its model and adapter, and how long it runs."""

    at: float
    model: str
    adapter: str
    service_s: float


@attrs.define(eq=False)
class Request:
    """The state of a request in the emulator.

    Attributes
    ----------
    measured : whether the request counts in the outcome of the run.
    missed : whether, at its arrival or while it was queued, no server had both model and adapter
        ready.
    """

    arrival: Arrival
    measured: bool = True
    missed: bool = False
    server: str = ""
    incarnation: int = 0


class FleetEventKind(enum.Enum):
    """Kinds of events that change the state of a server."""

    CRASH = "crash"
    RETURN_COLD = "return-cold"
    DRAIN = "drain"
    UNDRAIN = "undrain"


@attrs.frozen
class FleetEvent:
    """A timed event of a scenario."""

    at: float
    kind: FleetEventKind
    server: str


@attrs.frozen
class JournalRow:
    """One entry of the journal: an order, a load, an unload or an event of a server."""

    at: float
    event: str
    server: str
    name: str
    item_bytes: int = 0
    store: str = ""


@attrs.define(eq=False)
class Fleet:
    """The emulated fleet, as policies see it, and the orders that they can give."""

    items: dict[str, ItemSpec]
    stores: dict[str, EmulatedStoreSpec]
    servers: dict[str, EmulatedServer]
    waiting: dict[tuple[str, str], deque[Request]] = attrs.field(factory=dict)
    arrived: dict[tuple[str, str], int] = attrs.field(factory=dict)
    """Arrivals since a policy last cleared this."""
    journal: list[JournalRow] = attrs.field(factory=list)
    now: float = 0.0

    def pull_count(self, store: str) -> int:
        """Return the number of running transfers from a store."""
        count = 0
        for server in self.servers.values():
            for name in server.loading():
                count += self.items[name].store == store
        return count

    def ready_servers(self, model: str, adapter: str) -> list[EmulatedServer]:
        """Return the servers that can serve model and adapter together."""
        return [
            server
            for server in self.servers.values()
            if server.is_serving
            and _may_serve(server, model)
            and (not adapter or _may_serve(server, adapter))
        ]

    def holders(self, name: str) -> list[EmulatedServer]:
        """Return the serving servers that hold or load an item."""
        return [
            server
            for server in self.servers.values()
            if server.is_serving and name in server.replicas
        ]

    def order_load(self, server_name: str, name: str) -> OrderResult:
        """Start a load, unless the server refuses it."""
        server = self.servers[server_name]
        item = self.items[name]
        if not server.is_up:
            return OrderResult.DOWN
        self._record("order-load", server_name, name)
        if name in server.replicas:
            return OrderResult.ACCEPTED
        if item.base and not _is_loaded(server, item.base):
            return OrderResult.BASE_MODEL
        if server.used_bytes + item.item_bytes > server.weight_bytes:
            return OrderResult.MEMORY
        if len(server.loading()) >= server.spec.max_loads:
            return OrderResult.BUSY
        server.replicas[name] = EmulatedReplica(item.item_bytes, float(item.item_bytes), self.now)
        self._record("load-start", server_name, name)
        return OrderResult.ACCEPTED

    def order_unload(self, server_name: str, name: str) -> OrderResult:
        """Unload a replica at once, also while requests use it; the journal records that."""
        server = self.servers[server_name]
        if not server.is_up:
            return OrderResult.DOWN
        if name not in server.replicas:
            return OrderResult.NOT_HELD
        if server.running_on(name):
            self._record("unload-in-use", server_name, name)
        del server.replicas[name]
        self._record("unloaded", server_name, name)
        return OrderResult.ACCEPTED

    def _record(self, event: str, server: str, name: str) -> None:
        item = self.items.get(name)
        item_bytes = item.item_bytes if item else 0
        store = item.store if item else ""
        self.journal.append(JournalRow(self.now, event, server, name, item_bytes, store))


def _is_loaded(server: EmulatedServer, name: str) -> bool:
    replica = server.replicas.get(name)
    return replica is not None and replica.is_ready


def _may_serve(server: EmulatedServer, name: str) -> bool:
    return _is_loaded(server, name) and name not in server.draining
