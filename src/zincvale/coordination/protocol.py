"""Every message between the processes: importing this lets a process read what any peer sends."""

from __future__ import annotations

from zincvale.coordination import (
    change_messages,
    core_messages,
    delivery_messages,
    lease_messages,
    member_messages,
    register_messages,
    role_messages,
)

MESSAGE_MODULES = (
    change_messages,
    core_messages,
    delivery_messages,
    lease_messages,
    member_messages,
    register_messages,
    role_messages,
)
