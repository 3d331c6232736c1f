"""The network of a simulated cluster: cuts and weather per directed link, from one seed."""

from __future__ import annotations

import itertools
import random
from collections import Counter

import attrs

Link = tuple[str, str]
"""Sender and receiver, by member id."""


@attrs.frozen
class Weather:
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
        self._cuts: Counter[Link] = Counter()
        self._weather: dict[int, tuple[frozenset[Link] | None, Weather]] = {}
        self._tokens = itertools.count(1)

    def cut(self, links: frozenset[Link]) -> None:
        """Cut links; cuts nest."""
        self._cuts.update(links)

    def mend(self, links: frozenset[Link]) -> None:
        """Take one cut back."""
        self._cuts.subtract(links)

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Whether nothing passes from `sender` to `receiver`."""
        return self._cuts[(sender, receiver)] > 0

    def set_weather(self, links: frozenset[Link] | None, weather: Weather) -> int:
        """Give links (all of them: None) a weather; return a token that ends it."""
        token = next(self._tokens)
        self._weather[token] = (links, weather)
        return token

    def end_weather(self, token: int) -> None:
        """End one weather."""
        self._weather.pop(token, None)

    def heal(self) -> None:
        """Mend and calm everything."""
        self._cuts.clear()
        self._weather.clear()

    def deliveries(self, sender: str, receiver: str) -> list[float]:
        """Return the delay of each copy that arrives, in seconds; empty when it is lost."""
        if self.is_cut(sender, receiver):
            return []
        weather = self._weather_of((sender, receiver))
        if weather.loss and self._random.random() < weather.loss:
            return []
        copies = 1
        if weather.duplication and self._random.random() < weather.duplication:
            copies = 2
        return [weather.delay_s + weather.jitter_s * self._random.random() for _ in range(copies)]

    def _weather_of(self, link: Link) -> Weather:
        """Return the weather that was set last."""
        for links, weather in reversed(self._weather.values()):
            if links is None or link in links:
                return weather
        return CALM


CALM = Weather()


def both_ways(some: list[str], others: list[str]) -> frozenset[Link]:
    """Return every link between two groups."""
    return one_way(some, others) | one_way(others, some)


def one_way(senders: list[str], receivers: list[str]) -> frozenset[Link]:
    """Return every link from one group to another."""
    return frozenset((a, b) for a in senders for b in receivers if a != b)
