"""The HTTP application of a daemon."""

from __future__ import annotations

from typing import Any

from tornado.web import Application


def without_access_log(routes: list[Any]) -> Application:
    """Return the application of `routes`; requests are recorded as traces, not in a log."""
    return Application(routes, log_function=_ignore_request)


def _ignore_request(handler: Any) -> None:
    """Write no access log."""
