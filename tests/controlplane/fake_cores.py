"""In-memory cores behind the transport of the operator commands.

Each core runs the real control API and the real reducer on one shared intent; the outcome of each
attempt in the network is scripted.
"""

from __future__ import annotations

import urllib.parse
from collections import deque
from collections.abc import Mapping

import attrs
from returns.result import Failure

from tests.controlplane.fake_view import FakeView
from zincvale.cli.operator.session import CoreResponse, CoreUnreachableError
from zincvale.controlplane.api.dispatch import ControlApi
from zincvale.controlplane.api.messages import ApiEffect, ApiRequest, ApiResponse, CallCore
from zincvale.controlplane.intent.reducer import IntentReducer
from zincvale.coordination.changes import KeyView, apply_changes
from zincvale.coordination.registers.change_messages import ChangeResult, ProposeChange

RESPOND = "answer"
NOT_REACHED = "not-reached"
LOST_REQUEST = "lost-request"
LOST_RESPONSE = "lost-answer"
NOT_CONFIRMED = "not-confirmed"


@attrs.define
class FakeCores:
    """Implements `CoreTransport`; `script` lists the outcomes of the next changes."""

    view: FakeView = attrs.field(factory=FakeView)
    script: deque[str] = attrs.field(factory=deque)
    attempts: list[str] = attrs.field(factory=list)
    bodies: list[bytes] = attrs.field(factory=list)
    clock: float = 0.0
    down: set[str] = attrs.field(factory=set)
    apis: dict[str, ControlApi] = attrs.field(factory=dict)
    _versions_by_key: dict[str, int] = attrs.field(factory=dict)
    _count: int = 0

    async def fetch(
        self,
        address: str,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> CoreResponse:
        path, _, query = target.partition("?")
        outcome = RESPOND
        if method == "POST":
            outcome = self.script.popleft() if self.script else RESPOND
            self.attempts.append(f"{address} {headers['Idempotency-Key']} {outcome}")
            self.bodies.append(body)
        if address in self.down or outcome == NOT_REACHED:
            raise CoreUnreachableError("Connection refused", sent=False)
        if outcome == LOST_REQUEST:
            self.clock += timeout_s
            raise CoreUnreachableError("Timeout", sent=True)
        if outcome == NOT_CONFIRMED:
            return CoreResponse(503, b'{"kind":"not-confirmed","problem":"no majority"}')
        self._count += 1
        request = ApiRequest(
            method, path, dict(urllib.parse.parse_qsl(query)), headers, body, f"t{self._count}"
        )
        response = self._handle(address, request, timeout_s)
        if outcome == LOST_RESPONSE:
            self.clock += timeout_s
            raise CoreUnreachableError("Connection reset", sent=True)
        return response

    async def pause(self, seconds: float) -> None:
        self.clock += seconds
        for api in self.apis.values():
            api.tick(self.clock)

    def now(self) -> float:
        return self.clock

    def apply(self, change: bytes) -> None:
        """Apply a change of another operator."""
        self._decide(ProposeChange("intent", f"other-{self.view.rows.version}", None, change))

    def _handle(self, address: str, request: ApiRequest, timeout_s: float) -> CoreResponse:
        api = self.apis.setdefault(address, ControlApi(self.view))
        effects = api.handle(request, self.clock)
        if not effects:
            self.clock += timeout_s
            effects = api.tick(self.clock)
        effect: ApiEffect = effects[0]
        if isinstance(effect, CallCore):
            assert isinstance(effect.message, ProposeChange)
            effect = api.on_core_response(effect.token, self._decide(effect.message), 0.0)[0]
        assert isinstance(effect, ApiResponse)
        return CoreResponse(effect.status, effect.body)

    def _decide(self, proposal: ProposeChange) -> ChangeResult:
        rows = self.view.rows
        if proposal.idempotency_key in self._versions_by_key:
            return ChangeResult("in-force", self._versions_by_key[proposal.idempotency_key])
        if proposal.base_version not in (None, rows.version):
            problem = f"built on version {proposal.base_version}, now {rows.version}"
            return ChangeResult("conflict", 0, rows.version, problem, "rebuild the change")
        result = IntentReducer()(rows.rows, proposal.change)
        if isinstance(result, Failure):
            refused = result.failure()
            return ChangeResult("invalid", 0, rows.version, refused.problem, refused.remedy)
        self.view.rows = KeyView(rows.version + 1, apply_changes(rows.rows, result.unwrap()))
        self._versions_by_key[proposal.idempotency_key] = rows.version + 1
        return ChangeResult("in-force", rows.version + 1)
