"""How a process is reached; positional Avro, and by name in the rows of the replica sets."""

from __future__ import annotations

import attrs


@attrs.frozen
class MemberInfo:
    """Who a process is and how it is reached.

    `role` is a value of `zincvale.model.control_tables.Role`; `incarnation` is random, one per
    process start.
    """

    member: str
    role: str
    zone: str
    api_address: str
    peer_address: str
    incarnation: str
