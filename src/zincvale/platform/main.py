"""Starts one daemon on the platform: `python3 deploy/start.py core|node`."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import TYPE_CHECKING

from tornado.ioloop import PeriodicCallback

from zincvale.daemons.forwarding_timings import forwarding_timings
from zincvale.model.errors import ZincvaleError
from zincvale.platform.settings import (
    ProcessSettings,
    load_process_settings,
    settings_modified_at,
)
from zincvale.platform.settings_watch import SettingsWatch
from zincvale.runtime.logs import open_log

if TYPE_CHECKING:
    from zincvale.daemons.process import DaemonProcess

SETTINGS_POLL_INTERVAL_MS = 2_000
"""Interval between two checks of the settings file; a longer one delays the use of changed
seeds."""
EXIT_USAGE = 2


def main(arguments: list[str]) -> int:
    """Run the role in the first argument; return the exit status."""
    role = arguments[0] if arguments else ""
    try:
        if role not in ("core", "node"):
            print("error: no valid role; pass core or node", file=sys.stderr)
            return EXIT_USAGE
        settings = load_process_settings(role)
        open_log("", settings.daemon.member_id)
        _run(role, settings)
    except ZincvaleError as error:
        print(f"error: {error}", file=sys.stderr)
        return EXIT_USAGE
    return 0


def _run(role: str, settings: ProcessSettings) -> None:
    if role == "core" and settings.daemon.data_folder:
        _run_core(settings)
    elif role == "core":
        _run_standby(settings)
    else:
        _run_node(settings)


def _run_core(settings: ProcessSettings) -> None:
    # Imported here and below, since imports cost start time and a role needs only its own modules.
    from zincvale.daemons.forwarding_core import ForwardingCore
    from zincvale.daemons.forwarding_dialects import ForwardingDialects
    from zincvale.platform.operators import PlatformOperators
    from zincvale.platform.servers import PlatformOrders, PlatformServerList

    core = ForwardingCore(
        settings.daemon,
        settings.forwarding,
        ForwardingDialects(PlatformOperators(), PlatformServerList(), PlatformOrders()),
        forwarding_timings(),
        bootstrap=settings.bootstrap,
    )
    _watch_settings("core", settings, core.use_seeds, core.process)
    core.run()


def _run_standby(settings: ProcessSettings) -> None:
    """Run a standby: a machine without a disk cannot store votes."""
    from zincvale.daemons.standby_daemon import StandbyDaemon

    standby = StandbyDaemon(settings.daemon)
    _watch_settings("core", settings, standby.use_seeds, standby.process)
    standby.run()


def _run_node(settings: ProcessSettings) -> None:
    from zincvale.daemons.forwarding_node import ForwardingNode
    from zincvale.platform.callers import PlatformForwarding

    node = ForwardingNode(
        settings.daemon, settings.forwarding, PlatformForwarding(), forwarding_timings()
    )
    _watch_settings("node", settings, node.use_seeds, node.process)
    node.run()


def _watch_settings(
    role: str,
    settings: ProcessSettings,
    use_seeds: Callable[[tuple[str, ...]], None],
    process: DaemonProcess,
) -> None:
    """Reload the seeds whenever the settings file changes or SIGHUP arrives."""
    watch = SettingsWatch(
        settings_modified_at,
        lambda: tuple(load_process_settings(role).daemon.seeds),
        use_seeds,
        settings.modified_at,
    )
    process.on_reload = watch.reload
    PeriodicCallback(watch.poll, SETTINGS_POLL_INTERVAL_MS).start()
