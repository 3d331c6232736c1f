"""Typed identifiers: strings that mypy keeps apart."""

from __future__ import annotations

from typing import NewType

MemberId = NewType("MemberId", str)
"""One daemon (core or node) of the cluster."""

ServerId = NewType("ServerId", str)
"""One back-end server, as the platform's list names it."""

ZoneName = NewType("ZoneName", str)
PoolName = NewType("PoolName", str)
RouteName = NewType("RouteName", str)
ModelName = NewType("ModelName", str)
AdapterName = NewType("AdapterName", str)
StoreName = NewType("StoreName", str)

RequestId = NewType("RequestId", str)
"""The caller's identifier of one request; a resend carries the same one."""

TraceId = NewType("TraceId", str)
"""32 lower-case hexadecimal digits, minted by the entry node."""

OrderId = NewType("OrderId", str)
"""An operator's idempotency key for one configuration change."""

MoveId = NewType("MoveId", str)
Address = NewType("Address", str)
"""`ip:port`."""

RAW_ADDRESS_PREFIX = "@"
"""A member identifier with this prefix is itself the address: seeds have no identifier yet."""


def member_at(address: Address) -> MemberId:
    """Return the member id for first contact with the process at `address`."""
    return MemberId(f"{RAW_ADDRESS_PREFIX}{address}")
