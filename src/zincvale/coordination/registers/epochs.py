"""Epochs and positions: the total order of everything a register replica ever accepts."""

from __future__ import annotations

import functools

import attrs


@functools.total_ordering
@attrs.frozen(order=False)
class Epoch:
    """One period of ownership of a key.

    Attributes
    ----------
    number : increases with each new owner.
    owner : `member/incarnation` of the owning process, so that no two processes share an epoch.
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
    """Where a record stands: the epoch that wrote it and the version of its value.

    Two records at the same position are identical.
    """

    epoch: Epoch = Epoch()
    version: int = 0

    def __lt__(self, other: Position) -> bool:
        """Order by epoch, then by version."""
        return (self.epoch, self.version) < (other.epoch, other.version)


def epoch_owner(member: str, incarnation: str) -> str:
    """Return the owner field of the epochs that this process takes."""
    return f"{member}/{incarnation}"
