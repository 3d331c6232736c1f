"""Progress of one request over its attempts, and the choice of the node for each attempt."""

from __future__ import annotations

import random

import attrs

from zincvale.standins.load.http_client import Attempt
from zincvale.standins.load.request_plan import Plan
from zincvale.standins.load.response_check import ResponseCheck
from zincvale.standins.load.retry import CallerRetry


class NodePicker:
    """Picks the node of an attempt among the ready nodes.

    Parameters
    ----------
    source : random source for the choice of nodes.
    """

    def __init__(self, source: random.Random) -> None:
        self._source = source
        self._nodes: list[tuple[str, str]] = []

    def replace(self, nodes: list[tuple[str, str]]) -> None:
        """Replace the known nodes, given as pairs of name and address."""
        self._nodes = sorted(nodes)

    def pick(self, avoided: str) -> tuple[str, str] | None:
        """Return a random node other than `avoided` if possible; None if no node is known."""
        others = [node for node in self._nodes if node[0] != avoided]
        candidates = others or self._nodes
        return self._source.choice(candidates) if candidates else None


@attrs.define
class RequestProgress:
    """State of one request across its attempts; times are seconds on `CLOCK_BOOTTIME`."""

    plan: Plan
    check: ResponseCheck
    retry: CallerRetry
    started_at: float
    deadline_at: float
    request_id: str
    attempts: int = 0
    id_changes: int = 0
    last_node: str = ""
    first_at: float | None = None
    last_chunk_at: float | None = None
    has_discarded_response: bool = False

    def record_attempt(self, attempt: Attempt) -> None:
        """Record the times of an attempt; the wait for a resumed stream counts as a gap."""
        if self.last_chunk_at is not None and attempt.first_at is not None:
            attempt.gaps_s.append(attempt.first_at - self.last_chunk_at)
        if self.first_at is None:
            self.first_at = attempt.first_at
        if attempt.last_chunk_at is not None:
            self.last_chunk_at = attempt.last_chunk_at
