"""Check of the `ip:port` addresses in declared resources and in observed servers."""

from __future__ import annotations

import ipaddress

HIGHEST_PORT = 65_535
IPV6 = 6


def is_address(text: str) -> bool:
    """Whether `text` is an IP address and a port, an IPv6 address in brackets."""
    host, separator, port = text.rpartition(":")
    if not separator or not port.isascii() or not port.isdigit():
        return False
    if not 0 < int(port) <= HIGHEST_PORT:
        return False
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        version = ipaddress.ip_address(host[1:-1] if bracketed else host).version
    except ValueError:
        return False
    return bracketed == (version == IPV6)
