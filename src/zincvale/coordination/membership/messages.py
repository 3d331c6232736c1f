"""How a process is reached, as it travels."""

from __future__ import annotations

import attrs


@attrs.frozen
class MemberInfo:
    """Who a process is and how it is reached."""

    member: str
    role: str
    zone: str
    api_address: str
    peer_address: str
    incarnation: str
