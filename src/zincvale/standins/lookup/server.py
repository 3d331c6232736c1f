"""HTTP interface of the lookup server stand-in (docs/PROTOCOLS.md, "Back ends")."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from tornado.web import Application

from zincvale.standins.back_end import BackEnd, BackEndHandler, BehaviourHandler, ServerIdentity
from zincvale.standins.behaviours import BehaviourKind
from zincvale.standins.deployment import LookupProfile
from zincvale.standins.generation import lookup_value, text_digest
from zincvale.standins.journal import JournalWriter
from zincvale.standins.lookup.rate_limiter import LookupLimiter


class Lookup(BackEnd):
    """One lookup server.

    Parameters
    ----------
    identity : name, pool, zone and incarnation of the server.
    profile : rate limit, service time and concurrency.
    journal : records what actually happened.
    clock : seconds on `CLOCK_BOOTTIME`.
    seed : seed of the draws that decide which requests misbehave.
    """

    def __init__(
        self,
        identity: ServerIdentity,
        profile: LookupProfile,
        journal: JournalWriter,
        clock: Callable[[], float],
        seed: int = 1,
    ) -> None:
        super().__init__(identity, journal, clock, seed)
        self.profile = profile
        self.limiter = LookupLimiter(profile, clock())

    def status(self) -> dict[str, Any]:
        """Return the body of `GET /status`."""
        return {
            "server": self.identity.server,
            "incarnation": self.identity.incarnation,
            "state": "ready",
            "memory_bytes": 0,
            "used_bytes": 0,
            "kv_bytes_used": 0,
            "running": self.limiter.running,
            "queued": 0,
            "max_running": self.profile.max_running,
            "models": [],
            "adapters": [],
        }


class StatusHandler(BackEndHandler):
    """`GET /status`."""

    def get(self) -> None:
        """Respond with the status of the server, including its running lookups."""
        self.respond(200, self.back_end.status())


class LookupHandler(BackEndHandler):
    """`GET /v1/lookup?key=&request_id=`."""

    async def get(self) -> None:
        """Run one lookup, or refuse it with status 429 if a limit is reached."""
        key = self.get_query_argument("key")
        request_id = self.get_query_argument("request_id")
        lookup: Lookup = self.back_end
        if lookup.draw(BehaviourKind.REFUSE) or not lookup.limiter.begin(lookup.clock()):
            self.refuse(429, request_id, "rate")
            return
        lookup.journal.write(
            "run",
            request_id=request_id,
            server=lookup.identity.server,
            model=None,
            adapter=None,
            prompt_digest=text_digest(key),
        )
        try:
            await self._serve(lookup)
        finally:
            lookup.limiter.end()
        lookup.journal.write("done", request_id=request_id, tokens=1)
        payload = {"request_id": request_id, "key": key, "value": lookup_value(key)}
        await self.deliver(request_id, payload)

    async def _serve(self, lookup: Lookup) -> None:
        if lookup.draw(BehaviourKind.STALL):
            await asyncio.Event().wait()
        factor = lookup.behaviours.slow_factor(lookup.clock())
        await asyncio.sleep(lookup.profile.service_s * factor)


def make_application(lookup: Lookup) -> Application:
    """Return the HTTP application of one lookup server."""
    state = {"back_end": lookup}
    return Application(
        [
            ("/status", StatusHandler, state),
            ("/v1/lookup", LookupHandler, state),
            ("/admin/behaviour", BehaviourHandler, state),
        ],
        log_function=lambda _handler: None,
    )
