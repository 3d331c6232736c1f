"""Parts that every daemon shares: the peer endpoint, the machine driver, signals and the drain."""

from __future__ import annotations

import gc
import signal
from collections.abc import Callable
from typing import Any

import attrs
from tornado.ioloop import IOLoop
from tornado.web import Application

from zincvale.coordination import protocol as _protocol  # noqa: F401  registers messages
from zincvale.model.forwarding import CallerLimits
from zincvale.model.identifiers import MemberId
from zincvale.runtime import log_events
from zincvale.runtime.admission.admission import PEER_REQUEST_BYTES, Admission
from zincvale.runtime.admission.limits import FixedLimits, process_limits
from zincvale.runtime.admission.server import AdmittingServer
from zincvale.runtime.driver import TICK_INTERVAL_MS, Machine, MachineDriver, Storage
from zincvale.runtime.hangup import accept_hangups, defer_hangups
from zincvale.runtime.listening import listen
from zincvale.runtime.logs import log
from zincvale.runtime.peer_router import PeerRouter
from zincvale.runtime.settings import DaemonSettings
from zincvale.transport.peer_client import PeerClient, PeerIdentity
from zincvale.transport.peer_server import MAX_PEER_BODY_BYTES, PeerServer

MAX_API_BODY_BYTES = 32 * 1024 * 1024
"""Size limit of API request bodies; a process with little memory has a smaller one."""
DRAIN_CHECK_INTERVAL_S = 0.05
"""Interval between two checks whether the drain is done; a longer one delays the stop."""
GC_THRESHOLD_OBJECTS = 5_000
"""Allocations minus deallocations between two garbage collections. A node under load exceeds
Python's default of 700 several times a second, although it creates few cycles."""


def _do_nothing() -> None:
    """Do nothing: the default of optional callbacks."""


@attrs.frozen
class Drain:
    """How a daemon drains: it calls `begin`, then serves until `is_done` or for `limit_s` seconds.

    A node calls `end` then, and gives up its lease.

    Attributes
    ----------
    begin : called with a time before which the signal was certainly not sent. A process that was
        frozen notices the signal late, but the sender's grace period starts when it is sent.
    end : makes a node refuse whatever has not begun.
    """

    begin: Callable[[float], None]
    is_done: Callable[[], bool]
    limit_s: float
    end: Callable[[], None] = _do_nothing


NO_DRAIN = Drain(lambda _not_before: None, lambda: True, 0.0)


@attrs.define
class DaemonProcess:
    """One daemon's peer endpoint, driver and HTTP servers around its coordination machine.

    It owns the HTTP servers that it listens with and stops them when `run` returns.
    """

    settings: DaemonSettings
    identity: PeerIdentity
    driver: MachineDriver
    router: PeerRouter
    server: PeerServer
    peers: PeerClient
    admission: Admission
    _clock: Callable[[], float]
    on_reload: Callable[[], None] = _do_nothing
    """Called on SIGHUP, since the settings file may have changed; most daemons read it once."""
    _http_servers: list[AdmittingServer] = attrs.field(factory=list)
    _api_server: AdmittingServer | None = None
    _is_stopping: bool = False

    def listen(self, api: Application) -> None:
        """Bind the API address and the peer address; raises `StartupError`."""
        self._api_server = listen(
            api,
            self.settings.api_address,
            "api_address",
            self.admission,
            self._limits(MAX_API_BODY_BYTES),
        )
        self._http_servers.append(self._api_server)
        self.listen_peers()

    @property
    def has_unsent_responses(self) -> bool:
        """Whether a client at the API address has not read everything that was written to it."""
        return self._api_server is not None and self._api_server.has_unsent_responses

    def listen_peers(self) -> None:
        """Bind only the peer address; raises `StartupError`."""
        self._http_servers.append(
            listen(
                self.server,
                self.settings.peer_address,
                "peer_address",
                self.admission,
                self._limits(MAX_PEER_BODY_BYTES),
                expands_bodies=True,
                request_bytes=PEER_REQUEST_BYTES,
            )
        )

    def _limits(self, max_body_bytes: int) -> FixedLimits:
        """Return limits whose largest body fits into the memory of the process."""
        largest_bytes = min(max_body_bytes, self.admission.largest_body_bytes)
        return FixedLimits(CallerLimits(max_body_bytes=largest_bytes))

    def run(self, drain: Drain) -> None:
        """Serve until SIGTERM or SIGINT, then drain."""
        loop = IOLoop.current()
        self.driver.start()
        _tune_garbage_collector()

        def on_stop_signal(_number: int, _frame: Any) -> None:
            loop.add_callback_from_signal(self._begin_drain, drain, self.driver.last_ran_at)

        def on_hangup_signal(_number: int, _frame: Any) -> None:
            loop.add_callback_from_signal(self.on_reload)

        signal.signal(signal.SIGTERM, on_stop_signal)
        signal.signal(signal.SIGINT, on_stop_signal)
        accept_hangups(on_hangup_signal)
        log(
            log_events.DAEMON_STARTED,
            role=self.settings.role,
            zone=self.settings.zone,
            api_address=self.settings.api_address,
            peer_address=self.settings.peer_address,
        )
        loop.start()
        # While the interpreter ends, it resets the handlers, and the signal would kill it.
        defer_hangups()
        self.driver.stop()
        for server in self._http_servers:
            server.stop()

    def _begin_drain(self, drain: Drain, not_before: float) -> None:
        if self._is_stopping:
            return
        self._is_stopping = True
        log(log_events.DAEMON_STOPPING)
        drain.begin(not_before)
        self._stop_when_drained(drain, self._clock() + drain.limit_s)

    def _stop_when_drained(self, drain: Drain, drain_deadline: float) -> None:
        loop = IOLoop.current()
        if drain.is_done() or self._clock() >= drain_deadline:
            loop.stop()
            return
        loop.call_later(DRAIN_CHECK_INTERVAL_S, self._stop_when_drained, drain, drain_deadline)


def _tune_garbage_collector() -> None:
    """Exempt all present objects from garbage collection: modules live as long as the process.

    There is no collection before that: it would take a tenth of the start to free about 2 MB.
    """
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS)
    gc.enable()


def build_process(
    settings: DaemonSettings,
    incarnation: str,
    machine: Machine,
    clock: Callable[[], float],
    storage: Storage | None,
    address_of: Callable[[MemberId], str | None],
    after_input: Callable[[], None],
    tick_interval_ms: float = TICK_INTERVAL_MS,
) -> DaemonProcess:
    """Return the process around `machine`.

    Parameters
    ----------
    storage : executes `Write` effects; None for a machine that writes nothing.
    address_of : returns the peer address of a member, None while it is unknown.
    after_input : called after each batch of handled inputs.
    """
    member = MemberId(settings.member_id)
    identity = PeerIdentity(settings.cluster_id, member, incarnation)
    replies = _PeerReplies()
    driver = MachineDriver(
        machine, member, clock, storage, replies.send, after_input, tick_interval_ms
    )
    router = PeerRouter(driver)
    server = PeerServer(identity, router, _log_refused)
    replies.server = server
    router.reply = server.reply

    def deliver(sender: MemberId, messages: list[Any]) -> None:
        for message in router.messages_received(sender, messages):
            peers.send(sender, message)

    peers = PeerClient(identity, address_of, settings.address_map, deliver, _log_link_state)
    driver.peers = peers
    limits = process_limits(settings.memory_limit_mb, settings.descriptor_limit)
    admission = Admission(limits, clock)
    return DaemonProcess(settings, identity, driver, router, server, peers, admission, clock)


@attrs.define
class _PeerReplies:
    """Sends replies to peers; lets driver and peer server be constructed one after the other."""

    server: PeerServer | None = None

    def send(self, token: str, message: Any) -> bool:
        return self.server is not None and self.server.reply(token, message)


def _log_refused(reason: str) -> None:
    log(log_events.PEER_REFUSED, reason=reason)


def _log_link_state(member: MemberId, reachable: bool, reason: str) -> None:
    if not reachable:
        log(log_events.PEER_UNREACHABLE, peer=member, reason=reason)
