"""Lookup servers in virtual time: the stand-in's rate limit and service time."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from zincvale.controlplane.directory.backend_status import ServerStatus
from zincvale.dataplane.resilience.exchange_evidence import ExchangeEnd
from zincvale.model.control_tables import ServerHealth
from zincvale.simulator.what_if.clock import Timer
from zincvale.simulator.what_if.servers import Asker, VirtualServer, do_nothing
from zincvale.standins.deployment import LookupProfile
from zincvale.standins.generation import GenerationKey
from zincvale.standins.lookup import LookupLimiter


@attrs.define(eq=False)
class VirtualLookup(VirtualServer):
    """A lookup server: the stand-in's `LookupLimiter` and service time."""

    profile: LookupProfile = attrs.field(kw_only=True)
    limiter: LookupLimiter = attrs.field(init=False)
    _askers: dict[int, tuple[Asker, Timer]] = attrs.field(factory=dict)
    _run_count: int = 0

    def __attrs_post_init__(self) -> None:
        self.limiter = LookupLimiter(self.profile, self.clock.now)

    def status(self) -> ServerStatus:
        """Return what `GET /status` would say now."""
        return ServerStatus(
            server=self.name,
            incarnation=f"{self.name}-{self.incarnation}",
            health=ServerHealth.READY,
            memory_bytes=0,
            used_bytes=0,
            running=self.limiter.running,
            queued=0,
            max_running=self.profile.max_running,
            models=frozenset(),
            adapters=frozenset(),
            loading=frozenset(),
            unloading=frozenset(),
        )

    def ask(
        self, asker: Asker, key: GenerationKey, prefix_tokens: int, mark: int
    ) -> Callable[[], None]:
        """Run one lookup, or refuse it by rate."""
        if not self.limiter.begin(self.clock.now):
            self.counts.refusals += 1
            asker.on_refused(ExchangeEnd.RATE_LIMITED, (), False)
            return do_nothing
        self._began()
        self._run_count += 1
        number = self._run_count
        timer = self.clock.call_later(self.profile.service_s, lambda: self._finish(number))
        self._askers[number] = (asker, timer)
        return do_nothing

    def crash(self) -> None:
        """End the process."""
        if not self.up:
            return
        self.up = False
        askers, self._askers = self._askers, {}
        for asker, timer in askers.values():
            timer.cancel()
            asker.on_broken(0, True)

    def start(self) -> None:
        """Start the process again."""
        VirtualServer.start(self)
        self.limiter = LookupLimiter(self.profile, self.clock.now)

    def _finish(self, number: int) -> None:
        asker, _ = self._askers.pop(number)
        self.limiter.end()
        asker.on_finished(1)
