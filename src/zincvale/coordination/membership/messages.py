"""The identity and addresses of a process.

They are encoded as positional Avro in messages, and by field name in the rows of the replica sets.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class MemberInfo:
    """The identity and addresses of a process.

    `role` is a value of `zincvale.model.control_tables.Role`; `incarnation` is a random identifier,
    new at each start of the process.
    """

    member: str
    role: str
    zone: str
    api_address: str
    peer_address: str
    incarnation: str
