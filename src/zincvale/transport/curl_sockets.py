"""Sockets of pooled connections, to check that one is open and quiet before it is reused.

libcurl checks a pooled connection only when it was idle for a second. Within that second a request
would be written into a connection that its server closed, and might be taken for sent; or bytes of
a late response could wait there and be read as the next one.
"""

from __future__ import annotations

import socket
from collections import OrderedDict

import attrs

MAX_SOCKETS = 8192
"""Must exceed the client's open connections: an evicted endpoint is reused unchecked."""

LocalEndpoint = tuple[str, int]


@attrs.define
class SocketTable:
    """File descriptors of libcurl's sockets by their local address and port.

    An entry is written when its connection is made, so it is right for as long as libcurl names
    that endpoint; entries of closed connections are overwritten or age out.
    """

    _descriptor_by_endpoint: OrderedDict[LocalEndpoint, int] = attrs.field(factory=OrderedDict)

    def add(self, endpoint: LocalEndpoint, descriptor: int) -> None:
        """Record a connection that was just made."""
        self._descriptor_by_endpoint[endpoint] = descriptor
        self._descriptor_by_endpoint.move_to_end(endpoint)
        if len(self._descriptor_by_endpoint) > MAX_SOCKETS:
            self._descriptor_by_endpoint.popitem(last=False)

    def is_quiet(self, endpoint: LocalEndpoint) -> bool:
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
