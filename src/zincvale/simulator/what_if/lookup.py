"""Lookup servers in virtual time: the stand-in's rate limit and service time."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from zincvale.controlplane.directory.backend_status import ServerStatus
from zincvale.dataplane.resilience.exchange_evidence import ExchangeEnd
from zincvale.model.control_tables import ServerHealth
from zincvale.simulator.what_if.clock import Timer
from zincvale.simulator.what_if.servers import ExchangeListener, VirtualServer, do_nothing
from zincvale.standins.deployment import LookupProfile
from zincvale.standins.generation import GenerationKey
from zincvale.standins.lookup.rate_limiter import LookupLimiter


@attrs.define(eq=False)
class VirtualLookup(VirtualServer):
    """A lookup server: the stand-in's `LookupLimiter` and service time."""

    profile: LookupProfile = attrs.field(kw_only=True)
    limiter: LookupLimiter = attrs.field(init=False)
    _exchanges: dict[int, tuple[ExchangeListener, Timer]] = attrs.field(factory=dict)
    _run_count: int = 0

    def __attrs_post_init__(self) -> None:
        self.limiter = LookupLimiter(self.profile, self.clock.now)

    def status(self) -> ServerStatus:
        """Return the status that `GET /status` would report now."""
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

    def submit(
        self,
        listener: ExchangeListener,
        key: GenerationKey,
        prefix_tokens: int,
        report_at_token: int,
    ) -> Callable[[], None]:
        """Run one lookup, or refuse it when the rate limit is exceeded."""
        if not self.limiter.begin(self.clock.now):
            self.stats.refusals += 1
            listener.on_refused(ExchangeEnd.RATE_LIMITED, (), False)
            return do_nothing
        self._record_run()
        self._run_count += 1
        exchange_id = self._run_count
        timer = self.clock.call_later(self.profile.service_s, lambda: self._finish(exchange_id))
        self._exchanges[exchange_id] = (listener, timer)
        return do_nothing

    def crash(self) -> None:
        """End the process: every connection breaks."""
        if not self.is_up:
            return
        self.is_up = False
        exchanges, self._exchanges = self._exchanges, {}
        for listener, timer in exchanges.values():
            timer.cancel()
            listener.on_broken(0, True)

    def start(self) -> None:
        """Start the process again, with an unused rate limit."""
        VirtualServer.start(self)
        self.limiter = LookupLimiter(self.profile, self.clock.now)

    def _finish(self, exchange_id: int) -> None:
        listener, _ = self._exchanges.pop(exchange_id)
        self.limiter.end()
        listener.on_finished(1)
