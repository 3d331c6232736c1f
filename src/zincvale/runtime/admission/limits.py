"""The limits of a process, and what they leave for connections and requests."""

from __future__ import annotations

import os
import resource
from collections.abc import Callable
from typing import Protocol

import attrs

from zincvale.model.forwarding import CallerLimits

BYTES_PER_MB = 1_000_000
REQUESTS_MEMORY_SHARE = 0.3
"""Part of the memory of the process that requests, and responses that wait for slow readers, may
use."""
CONNECTIONS_MEMORY_SHARE = 0.15
"""Part of the memory of the process that open connections may use between requests."""
CONNECTION_BYTES = 32 * 1024
"""Memory of a connection between requests: its objects and the headers of the next request."""
RESERVED_DESCRIPTORS = 200
"""Descriptors for files, which connections do not use."""
CONNECTIONS_DESCRIPTOR_SHARE = 1 / 3
"""Part of the descriptors that accepted connections may use. Each of them may need a connection to
a server as well, and the rest is for idle connections to servers, for peers and for files."""
MIN_CONNECTIONS = 16


@attrs.frozen
class ProcessLimits:
    """Memory in bytes and number of descriptors of a process."""

    memory_bytes: int
    descriptors: int

    @property
    def request_bytes(self) -> int:
        """Memory for requests of all connections together."""
        return int(self.memory_bytes * REQUESTS_MEMORY_SHARE)

    @property
    def connections(self) -> int:
        """How many accepted connections may be open, at all listeners together."""
        by_memory = self.memory_bytes * CONNECTIONS_MEMORY_SHARE / CONNECTION_BYTES
        by_descriptors = (self.descriptors - RESERVED_DESCRIPTORS) * CONNECTIONS_DESCRIPTOR_SHARE
        return max(MIN_CONNECTIONS, int(min(by_memory, by_descriptors)))


def process_limits(memory_limit_mb: int = 0, descriptor_limit: int = 0) -> ProcessLimits:
    """Return the limits in the settings; 0 means what the machine and the shell allow."""
    machine_bytes = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return ProcessLimits(
        memory_limit_mb * BYTES_PER_MB or machine_bytes,
        min(descriptor_limit or allowed, allowed),
    )


class ListenerLimits(Protocol):
    """The limits of one listener, which may change while connections are open."""

    def current(self) -> CallerLimits:
        """Return the limits that are in force now."""
        ...

    def are_certain(self) -> bool:
        """Whether no newer limits can be in force; else a request over them may be retried."""
        ...


@attrs.frozen
class FixedLimits:
    """Limits that never change; implements `ListenerLimits`."""

    limits: CallerLimits

    def current(self) -> CallerLimits:
        """Return the limits."""
        return self.limits

    def are_certain(self) -> bool:
        """Return True."""
        return True


@attrs.frozen
class DocumentLimits:
    """The limits of the operators' document; implements `ListenerLimits`."""

    read_limits: Callable[[], CallerLimits]
    read_certainty: Callable[[], bool]

    def current(self) -> CallerLimits:
        """Return the limits of the newest document that this node has."""
        return self.read_limits()

    def are_certain(self) -> bool:
        """Whether this node cannot have missed a newer document."""
        return self.read_certainty()
