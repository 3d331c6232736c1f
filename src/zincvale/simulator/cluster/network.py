"""The simulated network: blocked links, and loss, duplication and delay drawn from one seed."""

from __future__ import annotations

import itertools
import random
from collections import Counter

import attrs

Link = tuple[str, str]
"""A directed link: the member ids of the sender and the receiver."""


@attrs.frozen
class LinkConditions:
    """Probabilities of message loss and duplication on a link, and its delay in seconds."""

    loss: float = 0.0
    duplication: float = 0.0
    delay_s: float = 0.0005
    jitter_s: float = 0.002
    """Upper bound of a uniform random addition to the delay, which can reorder messages."""


class Network:
    """Decides when and how many times a message is delivered."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._blocks: Counter[Link] = Counter()
        self._conditions: dict[int, tuple[frozenset[Link] | None, LinkConditions]] = {}
        self._tokens = itertools.count(1)

    def block(self, links: frozenset[Link]) -> None:
        """Block links; a link stays blocked until every block of it is undone."""
        self._blocks.update(links)

    def unblock(self, links: frozenset[Link]) -> None:
        """Undo one block of links."""
        self._blocks.subtract(links)

    def is_blocked(self, sender: str, receiver: str) -> bool:
        """Whether the link from `sender` to `receiver` is blocked."""
        return self._blocks[(sender, receiver)] > 0

    def set_conditions(self, links: frozenset[Link] | None, conditions: LinkConditions) -> int:
        """Set the conditions of links (None: all links); return a token for `clear_conditions`."""
        token = next(self._tokens)
        self._conditions[token] = (links, conditions)
        return token

    def clear_conditions(self, token: int) -> None:
        """Remove the conditions that were set under a token."""
        self._conditions.pop(token, None)

    def heal(self) -> None:
        """Unblock every link and restore normal conditions."""
        self._blocks.clear()
        self._conditions.clear()

    def delivery_delays(self, sender: str, receiver: str) -> list[float]:
        """Return the delay of each delivery, in seconds; empty when the message is lost."""
        if self.is_blocked(sender, receiver):
            return []
        conditions = self._conditions_of((sender, receiver))
        if conditions.loss and self._random.random() < conditions.loss:
            return []
        delivery_count = 1
        if conditions.duplication and self._random.random() < conditions.duplication:
            delivery_count = 2
        return [
            conditions.delay_s + conditions.jitter_s * self._random.random()
            for _ in range(delivery_count)
        ]

    def _conditions_of(self, link: Link) -> LinkConditions:
        """Return the most recently set conditions that apply to a link."""
        for links, conditions in reversed(self._conditions.values()):
            if links is None or link in links:
                return conditions
        return NORMAL_CONDITIONS


NORMAL_CONDITIONS = LinkConditions()


def two_way_links(some: list[str], others: list[str]) -> frozenset[Link]:
    """Return the links between two groups of members, in both directions."""
    return one_way_links(some, others) | one_way_links(others, some)


def one_way_links(senders: list[str], receivers: list[str]) -> frozenset[Link]:
    """Return the links from one group of members to another."""
    return frozenset((a, b) for a in senders for b in receivers if a != b)
