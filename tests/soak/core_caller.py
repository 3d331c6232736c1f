"""What all operators of a run share: the cores they call, and how they go on to another one."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator, Sequence

from tests.soak.history import History
from tests.soak.layout import MachineSpec

FIRST_BACKOFF_S, MAX_BACKOFF_S = 0.05, 0.5
BACKOFF_FACTOR = 1.6


class CoreCaller:
    """Calls the cores of the operators' list.

    Parameters
    ----------
    cores : returns the machines of the operators' list.
    clock : seconds on the monotonic clock.
    """

    def __init__(
        self,
        cores: Callable[[], Sequence[MachineSpec]],
        history: History,
        random_source: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._cores = cores
        self._history = history
        self._random = random_source
        self._clock = clock

    def _choose_core(self, avoided: str = "") -> MachineSpec:
        """Return any core, another one than `avoided` if there is one."""
        cores = list(self._cores())
        return self._random.choice([core for core in cores if core.name != avoided] or cores)


def backoffs_s() -> Iterator[float]:
    """Yield the pauses between the attempts of one order, each longer than the one before."""
    backoff_s = FIRST_BACKOFF_S
    while True:
        yield backoff_s
        backoff_s = min(MAX_BACKOFF_S, backoff_s * BACKOFF_FACTOR)
