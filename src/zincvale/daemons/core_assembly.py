"""What every core daemon is assembled from, whatever its operators and servers speak."""

from __future__ import annotations

import random
from pathlib import Path

from zincvale.coordination.config import CoreConfig, InitialCore, Timings
from zincvale.daemons.disk_setup import open_disk
from zincvale.daemons.process import DaemonProcess
from zincvale.daemons.roles import CORE_ROLES
from zincvale.model.identifiers import Address, MemberId, ZoneName
from zincvale.runtime.clock import suspend_aware_now, wall_now
from zincvale.runtime.logs import log
from zincvale.runtime.settings import DaemonSettings
from zincvale.storage.version_files import VersionFiles
from zincvale.tracing.config import TracingConfig
from zincvale.tracing.service import TracingService

DEFAULT_GROUP_SIZE = 3


def core_config(
    settings: DaemonSettings,
    incarnation: str,
    bootstrap: bool,
    recover: bool = False,
    timings: Timings | None = None,
    group_size: int = DEFAULT_GROUP_SIZE,
) -> CoreConfig:
    """Return the coordination machine's configuration of a core."""
    return CoreConfig(
        cluster_id=settings.cluster_id,
        member=MemberId(settings.member_id),
        incarnation=incarnation,
        zone=ZoneName(settings.zone),
        region=settings.region,
        api_address=Address(settings.api_address),
        peer_address=Address(settings.peer_address),
        seeds=tuple(Address(seed) for seed in settings.seeds),
        bootstrap=bootstrap,
        recover=recover,
        initial_cores=tuple(
            InitialCore(
                MemberId(core.member_id),
                Address(core.api_address),
                Address(core.peer_address),
                ZoneName(core.zone),
            )
            for core in settings.bootstrap_cores
        ),
        roles=CORE_ROLES,
        timings=timings or Timings(),
        group_size=group_size,
    )


def open_files(settings: DaemonSettings, random_source: random.Random) -> VersionFiles:
    """Return the files of a core's state in its data folder."""
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
    """Return a core's recorder, connected to its peers; a core samples no requests of its own."""
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
