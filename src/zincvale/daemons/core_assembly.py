"""The assembly of a core process, independent of the formats of its operators and servers.

`CoreAssembly` holds the parts that all deployments share: files, the coordination machine, the
process around it, the operators' API, tracing and the periodic tick. `CoreDaemon` (native) and
`ForwardingCore` (forwarding by documents) add their own components and implement
`CoreEventHandler`.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import attrs
from tornado.ioloop import PeriodicCallback

from zincvale.coordination.changes import Reducer
from zincvale.coordination.config import CoreConfig, InitialCore, ReadinessRule, Timings
from zincvale.coordination.core.machine import CoreMachine
from zincvale.coordination.registers.recovered_state import RecoveredState
from zincvale.coordination.replication.replica_sets import INTENT_KEY
from zincvale.daemons.control_api_handler import ControlApiServer, OperatorApi
from zincvale.daemons.core_view import LocalCoreView
from zincvale.daemons.disk_setup import open_disk
from zincvale.daemons.http_application import application_without_access_log
from zincvale.daemons.http_fetch import HttpFetcher
from zincvale.daemons.leadership_guard import LeadershipGuard
from zincvale.daemons.placement_runner import PlacementRunner
from zincvale.daemons.process import DaemonProcess, Drain, build_process
from zincvale.daemons.roles import CORE_ROLES, PLACEMENT_ROLE
from zincvale.daemons.topic_publisher import TopicPublisher
from zincvale.model.identifiers import Address, MemberId, ZoneName
from zincvale.runtime.clock import suspend_aware_now, wall_now
from zincvale.runtime.driver import TICK_INTERVAL_MS
from zincvale.runtime.logs import log
from zincvale.runtime.settings import DaemonSettings
from zincvale.storage.creation_file import CreationFile
from zincvale.storage.version_files import VersionFiles
from zincvale.tracing.config import TracingConfig
from zincvale.tracing.service import TracingService

DEFAULT_GROUP_SIZE = 3
"""Number of replicas of the control state: with three, one may be lost."""
COMPONENTS_TICK_MS = 50
"""Interval between two ticks of the components; a longer one delays orders to servers."""


@attrs.frozen(kw_only=True)
class CoreOptions:
    """Options of a core's start.

    Attributes
    ----------
    bootstrap : whether this start may create the cluster.
    recover : with `bootstrap`, whether every disk was lost: the nodes then return the control state
        that they store.
    timings : durations of the coordination machine.
    readiness : when the nodes of this deployment are ready.
    group_size : number of replicas of the control state.
    tick_interval_ms : interval between two ticks of the coordination machine.
    """

    bootstrap: bool
    recover: bool = False
    timings: Timings = attrs.field(factory=Timings)
    readiness: ReadinessRule = ReadinessRule.LEASE_OR_EVIDENCE
    group_size: int = DEFAULT_GROUP_SIZE
    tick_interval_ms: float = TICK_INTERVAL_MS


class CoreEventHandler(Protocol):
    """How a deployment's core reacts to changes of its state and to the passage of time."""

    def on_intent_changed(self) -> None:
        """Handle a newer chosen version of the intent."""
        ...

    def on_topics_changed(self, topics: set[str]) -> None:
        """Handle newer published states of these topics."""
        ...

    def on_tick(self, now: float) -> None:
        """Handle the tick that comes every `COMPONENTS_TICK_MS`."""
        ...


class CoreAssembly:
    """The parts of every core process; it owns the HTTP connections to servers and the tick.

    Parameters
    ----------
    settings : the validated settings.
    incarnation : name of this run of the process; seeds the random source.
    options : how this core starts.
    reducer : applies operators' changes to the intent.
    build_api : returns the operators' API, given this core's view of the control state.
    handler : called with changes and ticks, but not before `run` is called.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        incarnation: str,
        options: CoreOptions,
        reducer: Reducer,
        build_api: Callable[[LocalCoreView], OperatorApi],
        handler: CoreEventHandler,
    ) -> None:
        self.clock = suspend_aware_now
        self.random = random.Random(incarnation)
        self._handler = handler
        files = open_files(settings, self.random)
        recovered = files.load()
        initial_cores = _initial_cores(settings, recovered, options)
        self.machine = CoreMachine(
            core_config(settings, incarnation, options, initial_cores),
            recovered,
            {INTENT_KEY: reducer},
            self.random,
            self.clock(),
        )
        self.process = build_process(
            settings,
            incarnation,
            self.machine,
            self.clock,
            files,
            self.machine.address_of,
            self._after_input,
            options.tick_interval_ms,
        )
        self.view = LocalCoreView(self.machine, self.clock)
        self.api = ControlApiServer(build_api(self.view), self.process.driver, self.clock)
        self.tracing = core_tracing(settings, self.random, self.process)
        self.fetcher = HttpFetcher(settings.address_map, settings.member_id, settings.peer_address)
        guard = LeadershipGuard(self.machine, PLACEMENT_ROLE, self.clock)
        self.publisher = TopicPublisher(self.process.driver, guard)
        self._ticker = PeriodicCallback(self._tick, COMPONENTS_TICK_MS)

    def run(self, placement: PlacementRunner, drain: Drain) -> None:
        """Serve until SIGTERM or SIGINT, then drain; raises `StartupError`."""
        self.process.listen(application_without_access_log(self.api.routes()))
        placement.start()
        self._ticker.start()
        self.process.run(drain)
        self._ticker.stop()
        self.fetcher.close()

    def _after_input(self) -> None:
        changes = self.machine.take_changes()
        if INTENT_KEY in changes.keys:
            self._handler.on_intent_changed()
        if changes.members:
            self.tracing.apply_members(self.view.members())
        if changes.topics:
            self._handler.on_topics_changed(changes.topics)

    def _tick(self) -> None:
        self._handler.on_tick(self.clock())


def core_config(
    settings: DaemonSettings,
    incarnation: str,
    options: CoreOptions,
    initial_cores: tuple[InitialCore, ...],
) -> CoreConfig:
    """Return the configuration of a core's coordination machine.

    Parameters
    ----------
    initial_cores : the cores with which this start may create the cluster; none if it may not.
    """
    return CoreConfig(
        cluster_id=settings.cluster_id,
        member=MemberId(settings.member_id),
        incarnation=incarnation,
        zone=ZoneName(settings.zone),
        region=settings.region,
        api_address=Address(settings.api_address),
        peer_address=Address(settings.peer_address),
        seeds=tuple(Address(seed) for seed in settings.seeds),
        bootstrap=options.bootstrap or bool(initial_cores),
        recover=options.recover,
        initial_cores=initial_cores,
        roles=CORE_ROLES,
        timings=options.timings,
        group_size=options.group_size,
        readiness=options.readiness,
    )


def _initial_cores(
    settings: DaemonSettings, recovered: RecoveredState, options: CoreOptions
) -> tuple[InitialCore, ...]:
    """Return the cores with which this start may create the cluster.

    A start that is told so remembers them, for one that is not told and finds its disk as it was.
    On a disk with records they are of no use, and may have been replaced long ago.
    """
    file = CreationFile(Path(settings.data_folder), open_disk(settings), recovered.disk)
    if not options.bootstrap:
        return () if recovered.keys else file.initial_cores()
    initial_cores = tuple(
        InitialCore(
            MemberId(core.member_id),
            Address(core.api_address),
            Address(core.peer_address),
            ZoneName(core.zone),
        )
        for core in settings.bootstrap_cores
    )
    if not options.recover and not recovered.keys:
        file.remember(initial_cores)
    return initial_cores


def open_files(settings: DaemonSettings, random_source: random.Random) -> VersionFiles:
    """Return the version files in a core's data folder, which hold its durable state."""
    return VersionFiles(
        Path(settings.data_folder),
        open_disk(settings),
        settings.cluster_id,
        random_source,
        lambda number, fields: log(number, **fields),
    )


def core_tracing(
    settings: DaemonSettings, random_source: random.Random, process: DaemonProcess
) -> TracingService:
    """Return a core's tracing service, connected to its peers.

    A core serves no callers, so it samples no requests itself.
    """
    service = TracingService(
        MemberId(settings.member_id),
        random_source,
        suspend_aware_now,
        wall_now,
        process.peers.send,
        TracingConfig(head_sampling=False),
        log,
    )
    process.router.add_service("tracing", service.handle_message)
    return service
