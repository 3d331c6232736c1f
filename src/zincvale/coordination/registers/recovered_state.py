"""State that the storage layer recovered for a core at its start."""

from __future__ import annotations

import attrs


@attrs.frozen
class RecoveredKey:
    """The files of one key: a snapshot and the deltas after it, and the number of the last file."""

    contents: list[bytes]
    last_file: int


@attrs.frozen
class RecoveredState:
    """The state recovered from a data folder.

    Attributes
    ----------
    disk : random identity of the data folder, written when the folder was created.
    keys : the recovered files by key.
    damaged : keys with missing or unreadable files, each with the reason; such a replica has no
        vote.
    """

    disk: str
    keys: dict[str, RecoveredKey] = attrs.field(factory=dict)
    damaged: dict[str, str] = attrs.field(factory=dict)
