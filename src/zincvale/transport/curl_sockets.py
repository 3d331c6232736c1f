"""Sockets of pooled connections, to check that a connection is usable before it is reused.

libcurl checks a pooled connection only when it has been idle for a second. Within that second a
request could be written to a connection that its server has closed, and count as sent; or unread
bytes of a late response could be read as the response to the next request.
"""

from __future__ import annotations

import socket
from collections import OrderedDict

import attrs

MAX_SOCKETS = 8192
"""Maximum number of entries of a `SocketTable`. It must exceed the number of open connections of
the client, because a connection whose entry was evicted is reused without a check."""

LocalEndpoint = tuple[str, int]


@attrs.define
class SocketTable:
    """File descriptors of libcurl's sockets by their local address and port.

    An entry is written when its connection is established, so it is correct as long as libcurl uses
    that endpoint; entries of closed connections are overwritten or evicted.
    """

    _descriptor_by_endpoint: OrderedDict[LocalEndpoint, int] = attrs.field(factory=OrderedDict)

    def add(self, endpoint: LocalEndpoint, descriptor: int) -> None:
        """Add a connection that was just established."""
        self._descriptor_by_endpoint[endpoint] = descriptor
        self._descriptor_by_endpoint.move_to_end(endpoint)
        if len(self._descriptor_by_endpoint) > MAX_SOCKETS:
            self._descriptor_by_endpoint.popitem(last=False)

    def is_reusable(self, endpoint: LocalEndpoint) -> bool:
        """Whether the pooled connection is open and has nothing to read; True when unknown."""
        descriptor = self._descriptor_by_endpoint.get(endpoint)
        return descriptor is None or _has_nothing_to_read(descriptor)


def _has_nothing_to_read(descriptor: int) -> bool:
    family = socket.AF_INET
    borrowed = socket.socket(family, socket.SOCK_STREAM, 0, fileno=descriptor)
    try:
        borrowed.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    finally:
        borrowed.detach()
    return False
