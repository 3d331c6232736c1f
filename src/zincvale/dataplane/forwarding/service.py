"""Facade of forwarding: what the program assembles and drives."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random

import orjson

from zincvale.dataplane.forwarding.caller_http import CallerServer
from zincvale.dataplane.forwarding.caller_sink import CallerSink, IncomingRequest
from zincvale.dataplane.forwarding.dialect import ForwardingDialect
from zincvale.dataplane.forwarding.forwarded_request import ForwardedRequest
from zincvale.dataplane.forwarding.node_context import ForwardingContext
from zincvale.dataplane.forwarding.policies import PolicyChain, Scorer, scorers_named
from zincvale.dataplane.forwarding.servers import Residency
from zincvale.dataplane.forwarding.world import ForwardingTerms, ForwardingWorld
from zincvale.dataplane.interfaces import Spans
from zincvale.dataplane.messages import DemandReport
from zincvale.model.forwarding import ForwardingDocument
from zincvale.model.identifiers import MemberId, ServerId, ZoneName
from zincvale.model.view import Directory, Members
from zincvale.transport.server_client import ServerClient

NOT_FOUND = 404
TOO_LARGE = 413
UNAVAILABLE = 503
NO_DOCUMENT_RETRY_AFTER_S = 0.5


class ForwardingService:
    """The forwarding path of one node.

    Parameters
    ----------
    dialect : names on the wire of callers and servers.
    on_urgent : called when demand should be reported at once.
    policies : names of scorers; none means the default chain.
    """

    def __init__(
        self,
        member: MemberId,
        zone: ZoneName,
        terms: ForwardingTerms,
        dialect: ForwardingDialect,
        spans: Spans,
        random: Random,
        clock: Callable[[], float],
        on_urgent: Callable[[], None],
        address_map: Mapping[str, str] | None = None,
        policies: list[str] | None = None,
    ) -> None:
        self._member = member
        self._clock = clock
        self.is_closing = False
        scorers: list[Scorer] = scorers_named(policies or [])
        self.context = ForwardingContext(
            ForwardingWorld(zone, member, terms),
            PolicyChain(scorers),
            ServerClient(clock, address_map),
            dialect,
            spans,
            random,
            clock,
            on_urgent,
        )

    @property
    def world(self) -> ForwardingWorld:
        """The node's tables."""
        return self.context.world

    @property
    def active_requests(self) -> int:
        """Requests under way."""
        return len(self.context.under_way)

    def callers(self) -> CallerServer:
        """Return what an HTTP server hands callers' requests to."""
        return CallerServer(self)

    def now(self) -> float:
        """The node's clock, in seconds."""
        return self._clock()

    def take(self, incoming: IncomingRequest, sink: CallerSink) -> ForwardedRequest | None:
        """Begin a request, or answer it at once."""
        document = self.world.document
        if document.number == 0:
            _answer(sink, UNAVAILABLE, "no configuration is known yet", NO_DOCUMENT_RETRY_AFTER_S)
            return None
        headers = {name.lower(): value for name, value in incoming.headers}
        path = incoming.target.partition("?")[0]
        route = self.world.routes.find(headers.get("host", ""), path)
        if route is None:
            _answer(sink, NOT_FOUND, "no route takes this host and path")
            return None
        if incoming.body is not None and len(incoming.body) > document.limits.max_body_bytes:
            _answer(sink, TOO_LARGE, "the body is larger than the limit")
            return None
        facts = self.context.dialect.caller_facts(headers)
        request = ForwardedRequest(self.context, route, facts, incoming, sink)
        request.begin()
        return request

    # --- news from control ----------------------------------------------------------------

    def apply_document(self, document: ForwardingDocument) -> None:
        """Take a newer document into force: nothing is sent against it from here on."""
        if self.world.apply_document(document, self._clock()):
            self.context.pump()

    def apply_directory(self, directory: Directory) -> None:
        """Take a newer directory."""
        self.world.apply_directory(directory, self._clock())
        rows = self.world.servers.values()
        self.context.client.keep_only(
            {(state.row.address, state.row.incarnation) for state in rows}
        )
        self.context.pump()

    def apply_residencies(self, residencies: Mapping[ServerId, Residency]) -> None:
        """Take what the placement leader knows of the servers' memory."""
        self.world.apply_residencies(residencies)
        self.context.pump()

    def apply_closing(self, closing: Mapping[ServerId, frozenset[str]]) -> bool:
        """Take what is about to be unloaded; whether something new is closing."""
        return self.world.apply_closing(closing)

    def apply_members(self, members: Members) -> None:
        """Take a newer member table."""
        self.world.apply_members(members)

    def demand_report(self) -> DemandReport:
        """Return the demand this node saw, for the placement leader."""
        return self.context.demand.report(self._member, self._clock())

    def close(self) -> None:
        """Close every connection to servers."""
        self.context.client.close()


def _answer(
    sink: CallerSink, status: int, problem: str, retry_after_s: float | None = None
) -> None:
    headers = [("Content-Type", "application/json")]
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.2f}"))
    sink.answer(status, headers, orjson.dumps({"problem": problem}))
