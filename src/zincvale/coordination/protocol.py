"""Imports every module of coordination that defines messages between processes.

Messages are registered when their module is imported. A process that imports this module can decode
all coordination messages that a peer of the same version sends. Every new module of messages must
be added here.
"""

from __future__ import annotations

from zincvale.coordination.core import messages as core_messages
from zincvale.coordination.delivery import messages as delivery_messages
from zincvale.coordination.election import messages as election_messages
from zincvale.coordination.leases import messages as lease_messages
from zincvale.coordination.membership import messages as member_messages
from zincvale.coordination.registers import change_messages
from zincvale.coordination.registers import messages as register_messages

MESSAGE_MODULES = (
    change_messages,
    core_messages,
    delivery_messages,
    election_messages,
    lease_messages,
    member_messages,
    register_messages,
)
