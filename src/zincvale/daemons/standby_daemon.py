"""The daemon of the core role on a machine without a disk; it redirects operators to the cores."""

from __future__ import annotations

import random

from tornado.web import Application, RequestHandler

from zincvale.coordination.core.standby_machine import StandbyConfig, StandbyMachine
from zincvale.daemons.http_application import application_without_access_log
from zincvale.daemons.process import NO_DRAIN, build_process
from zincvale.model.identifiers import Address, MemberId, ZoneName
from zincvale.runtime.clock import suspend_aware_now
from zincvale.runtime.incarnation import new_incarnation
from zincvale.runtime.settings import DaemonSettings

TICK_INTERVAL_MS = 250
"""Interval between two ticks; a standby has nothing to do between its requests to the cores."""
HTTP_TEMPORARY_REDIRECT = 307
HTTP_SERVICE_UNAVAILABLE = 503


class StandbyDaemon:
    """Assembles one standby process."""

    def __init__(self, settings: DaemonSettings) -> None:
        incarnation = new_incarnation()
        config = StandbyConfig(
            MemberId(settings.member_id),
            ZoneName(settings.zone),
            tuple(Address(seed) for seed in settings.seeds),
        )
        self.machine = StandbyMachine(config, random.Random(incarnation))
        self.process = build_process(
            settings,
            incarnation,
            self.machine,
            suspend_aware_now,
            None,
            self.machine.address_of,
            _after_input,
            TICK_INTERVAL_MS,
        )

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        self.process.listen(operator_application(self.machine))
        self.process.run(NO_DRAIN)

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds while the process runs."""
        self.machine.use_seeds(seeds)


def operator_application(machine: StandbyMachine) -> Application:
    """Return the HTTP application that redirects operators to a core."""
    routes = [(r"/.*", RedirectHandler, {"machine": machine})]
    return application_without_access_log(routes)


class RedirectHandler(RequestHandler):
    """Redirects every path and method to a core; responds 503 while no core is known."""

    def initialize(self, machine: StandbyMachine) -> None:
        """Set the machine that tracks the known cores."""
        self.machine = machine

    def prepare(self) -> None:
        """Respond to the request, whatever its method; tornado then runs no method of its own."""
        address = self.machine.core_for_operators(suspend_aware_now())
        if address is None:
            self.set_status(HTTP_SERVICE_UNAVAILABLE)
            self.finish({"error": "no core is known yet; send the same call to another core"})
            return
        self.set_status(HTTP_TEMPORARY_REDIRECT)
        self.set_header("Location", f"http://{address}{self.request.uri}")
        self.finish()


def _after_input() -> None:
    """Do nothing: no other component of a standby depends on its machine's state."""
