"""Epochs and positions, which totally order the records that replicas accept."""

from __future__ import annotations

import functools

import attrs


@functools.total_ordering
@attrs.frozen(order=False)
class Epoch:
    """One period of ownership of a key.

    Attributes
    ----------
    number : increases with each new period of ownership.
    owner : `member/incarnation` of the owning process; it makes epochs of two processes different.
    """

    number: int = 0
    owner: str = ""

    def __lt__(self, other: Epoch) -> bool:
        """Order by number, then by owner."""
        return (self.number, self.owner) < (other.number, other.owner)

    def member(self) -> str:
        """Return the member id of the owner."""
        return self.owner.rpartition("/")[0]


@functools.total_ordering
@attrs.frozen(order=False)
class Position:
    """Place of a record in the total order of the records of its key.

    Two records at the same position are identical.

    Attributes
    ----------
    epoch : the epoch under which the record was written.
    version : the version of its value.
    """

    epoch: Epoch = Epoch()
    version: int = 0

    def __lt__(self, other: Position) -> bool:
        """Order by epoch, then by version."""
        return (self.epoch, self.version) < (other.epoch, other.version)


def epoch_owner(member: str, incarnation: str) -> str:
    """Return the `owner` field for the epochs that a process takes."""
    return f"{member}/{incarnation}"
