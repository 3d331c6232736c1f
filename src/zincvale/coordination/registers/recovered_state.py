"""What storage recovered for a core at its start."""

from __future__ import annotations

import attrs


@attrs.frozen
class RecoveredKey:
    """The files of one key: a snapshot, the deltas after it, and the last file number."""

    contents: list[bytes]
    last_file: int


@attrs.frozen
class RecoveredState:
    """Everything that a data folder stored.

    Attributes
    ----------
    disk : random identity of the data folder, written when it was first made.
    keys : the readable files by key.
    damaged : keys with missing or unreadable files, and why; such a replica has no vote.
    """

    disk: str
    keys: dict[str, RecoveredKey] = attrs.field(factory=dict)
    damaged: dict[str, str] = attrs.field(factory=dict)
