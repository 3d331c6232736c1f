"""Drives the control API in tests and records the exchange as a transcript."""

from __future__ import annotations

from typing import Any

import orjson

from tests.controlplane.fake_view import FakeView
from tests.controlplane.samples import apply_change, change, resource
from zincvale.controlplane.api.dispatch import ControlApi
from zincvale.controlplane.api.messages import ApiEffect, ApiRequest, ApiResponse, CallCore
from zincvale.coordination.changes import KeyView


class ApiDriver:
    """Sends an operator's requests to one core and records the exchange as text."""

    def __init__(self, view: FakeView | None = None) -> None:
        self.view = view or FakeView()
        self.api = ControlApi(self.view)
        self.lines: list[str] = []
        self.now = 100.0
        self._count = 0

    def send(
        self,
        method: str,
        path: str,
        body: Any = b"",
        headers: dict[str, str] | None = None,
        query: dict[str, str] | None = None,
    ) -> list[ApiEffect]:
        """Send one request and record its immediate effects."""
        self._count += 1
        content = body if isinstance(body, bytes) else orjson.dumps(body)
        token = f"t{self._count}"
        request = ApiRequest(method, path, query or {}, headers or {}, content, token)
        parameters = "".join(f" {name}={value}" for name, value in (query or {}).items())
        shown = content.decode(errors="replace")[:200]
        self.lines.append(f"-> {token} {method} {path[:200]}{parameters} {shown}".rstrip())
        self.lines += [f"   {name}: {value}" for name, value in (headers or {}).items()]
        return self.record(self.api.handle(request, self.now))

    def reply(self, token: str, message: Any) -> list[ApiEffect]:
        """Deliver the core's response to a `CallCore`."""
        self.lines.append(f"core -> {token} {message}")
        return self.record(self.api.on_core_response(token, message, self.now))

    def tick(self, seconds: float) -> list[ApiEffect]:
        """Advance the clock and tick the API."""
        self.now += seconds
        self.lines.append(f"tick at {self.now:g}")
        return self.record(self.api.tick(self.now))

    def note(self, text: str) -> None:
        """Add a comment to the transcript."""
        self.lines.append(f"# {text}")

    def record(self, effects: list[ApiEffect]) -> list[ApiEffect]:
        """Add effects to the transcript."""
        for effect in effects:
            self.lines.append(_effect_text(effect))
        return effects

    def transcript(self) -> str:
        """Return the exchange recorded so far."""
        return "\n".join(self.lines)


def set_resource(driver: ApiDriver, row: str, spec: dict[str, object]) -> None:
    """Merge one resource into the core's intent as its next version."""
    rows = apply_change(driver.view.rows.rows, change("merge", resource(row, spec)))
    driver.view.rows = KeyView(driver.view.rows.version + 1, rows)


def _effect_text(effect: ApiEffect) -> str:
    if isinstance(effect, CallCore):
        return f"call core {effect.token} {effect.message}"
    assert isinstance(effect, ApiResponse)
    headers = [f"{name}: {value}" for name, value in effect.headers.items()]
    extra = [line for line in headers if not line.startswith("Content-Type")]
    head = " ".join([f"<- {effect.token} {effect.status}", *extra])
    if not effect.body:
        return head
    body = orjson.dumps(orjson.loads(effect.body), option=orjson.OPT_INDENT_2).decode()
    return f"{head}\n{body}"
