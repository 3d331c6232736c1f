"""Drives the control API and writes down the exchange."""

from __future__ import annotations

from typing import Any

import orjson

from tests.controlplane.fake_view import FakeView
from tests.controlplane.samples import apply_change, change, resource
from zincvale.controlplane.api.dispatch import ControlApi
from zincvale.controlplane.api.messages import ApiEffect, ApiRequest, ApiResponse, CallCore
from zincvale.coordination.changes import KeyView


class ApiDriver:
    """One operator's exchange with one core, as text."""

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
        """Send one request and record what comes back at once."""
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
        """Give the core's answer."""
        self.lines.append(f"core -> {token} {message}")
        return self.record(self.api.on_core_response(token, message))

    def tick(self, seconds: float) -> list[ApiEffect]:
        """Let time pass."""
        self.now += seconds
        self.lines.append(f"tick at {self.now:g}")
        return self.record(self.api.tick(self.now))

    def note(self, text: str) -> None:
        """Write a remark into the transcript."""
        self.lines.append(f"# {text}")

    def record(self, effects: list[ApiEffect]) -> list[ApiEffect]:
        """Write effects into the transcript."""
        for effect in effects:
            self.lines.append(_shown(effect))
        return effects

    def transcript(self) -> str:
        """Return the exchange so far."""
        return "\n".join(self.lines)


def set_resource(driver: ApiDriver, row: str, spec: dict[str, object]) -> None:
    """Bring the next version of the intent into the core's view."""
    rows = apply_change(driver.view.rows.rows, change("merge", resource(row, spec)))
    driver.view.rows = KeyView(driver.view.rows.version + 1, rows)


def _shown(effect: ApiEffect) -> str:
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
