"""Rewrites the headers of forwarded messages: removes hop-by-hop headers (RFC 9110, 7.6.1)."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from zincvale.transport.server_exchange import HeaderList

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
REQUEST_FRAMING_HEADERS = frozenset({"content-length", "expect"})


def end_to_end_headers(headers: Iterable[tuple[str, str]], dropped: frozenset[str]) -> HeaderList:
    """Return the headers without the hop-by-hop ones and those in `dropped`."""
    received = list(headers)
    listed_in_connection = {
        name.strip().lower()
        for header, value in received
        if header.lower() == "connection"
        for name in value.split(",")
    }
    removed = HOP_BY_HOP_HEADERS | dropped | listed_in_connection
    return [(name, value) for name, value in received if name.lower() not in removed]


def to_server(headers: Iterable[tuple[str, str]], added: Mapping[str, str]) -> HeaderList:
    """Return a caller's headers for a server; `added` replaces those of the same names."""
    replaced = REQUEST_FRAMING_HEADERS | {name.lower() for name in added}
    return [*end_to_end_headers(headers, replaced), *added.items()]


def to_caller(headers: Iterable[tuple[str, str]], *, is_stream: bool) -> HeaderList:
    """Return a server's headers for the caller; a stream loses its length, as it may be resumed."""
    return end_to_end_headers(headers, frozenset({"content-length"}) if is_stream else frozenset())
