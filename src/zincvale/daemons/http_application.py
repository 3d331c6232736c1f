"""Creates the HTTP application of a daemon."""

from __future__ import annotations

from typing import Any

from tornado.web import Application


def application_without_access_log(routes: list[Any]) -> Application:
    """Return an application for `routes` without an access log; requests are recorded as traces."""
    return Application(routes, log_function=_ignore_request)


def _ignore_request(handler: Any) -> None:
    """Write no access log."""
