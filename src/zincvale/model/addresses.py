"""Splits addresses of the form `ip:port`."""

from __future__ import annotations


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of `ip:port`."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
