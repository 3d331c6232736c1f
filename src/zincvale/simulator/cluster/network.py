"""The network of a simulated cluster: blocked links and link conditions, from one seed."""

from __future__ import annotations

import itertools
import random
from collections import Counter

import attrs

Link = tuple[str, str]
"""Sender and receiver, by member id."""


@attrs.frozen
class LinkConditions:
    """What a link does to messages: probabilities, and delays in seconds."""

    loss: float = 0.0
    duplication: float = 0.0
    delay_s: float = 0.0005
    jitter_s: float = 0.002
    """Uniform on top of the delay; later messages may overtake earlier ones."""


class Network:
    """Decides when, and how often, a message arrives."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._blocks: Counter[Link] = Counter()
        self._conditions: dict[int, tuple[frozenset[Link] | None, LinkConditions]] = {}
        self._tokens = itertools.count(1)

    def block(self, links: frozenset[Link]) -> None:
        """Block links; blocks nest."""
        self._blocks.update(links)

    def unblock(self, links: frozenset[Link]) -> None:
        """Undo one block of links."""
        self._blocks.subtract(links)

    def is_blocked(self, sender: str, receiver: str) -> bool:
        """Whether nothing is delivered from `sender` to `receiver`."""
        return self._blocks[(sender, receiver)] > 0

    def set_conditions(self, links: frozenset[Link] | None, conditions: LinkConditions) -> int:
        """Set the conditions of links (None: all of them); return a token that ends them."""
        token = next(self._tokens)
        self._conditions[token] = (links, conditions)
        return token

    def clear_conditions(self, token: int) -> None:
        """End the conditions of one token."""
        self._conditions.pop(token, None)

    def heal(self) -> None:
        """Unblock every link and restore normal conditions."""
        self._blocks.clear()
        self._conditions.clear()

    def deliveries(self, sender: str, receiver: str) -> list[float]:
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
        """Return the conditions that were set last."""
        for links, conditions in reversed(self._conditions.values()):
            if links is None or link in links:
                return conditions
        return NORMAL_CONDITIONS


NORMAL_CONDITIONS = LinkConditions()


def both_ways(some: list[str], others: list[str]) -> frozenset[Link]:
    """Return every link between two groups."""
    return one_way(some, others) | one_way(others, some)


def one_way(senders: list[str], receivers: list[str]) -> frozenset[Link]:
    """Return every link from one group to another."""
    return frozenset((a, b) for a in senders for b in receivers if a != b)
