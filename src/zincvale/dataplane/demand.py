"""Demand for each model and adapter, the input of placement."""

from __future__ import annotations

from collections import Counter
from typing import TypeVar

import attrs

from zincvale.dataplane.messages import DemandReport, ModelDemand, ModelUse
from zincvale.model.identifiers import AdapterName, MemberId, ModelName, PoolName, ServerId

Key = TypeVar("Key")


@attrs.frozen
class DemandKey:
    """A model, or an adapter of it, in a pool."""

    pool: PoolName
    model: ModelName
    adapter: AdapterName | None = None


@attrs.define
class DemandTable:
    """Requests and generated tokens since the last report, and the requests that wait or run now.

    Attributes
    ----------
    urgent : a request began to wait for a load that no request was waiting for at the last report.
    """

    urgent: bool = False
    _requests: Counter[DemandKey] = attrs.field(factory=Counter)
    _tokens: Counter[DemandKey] = attrs.field(factory=Counter)
    _waiting: Counter[DemandKey] = attrs.field(factory=Counter)
    _reported_waiting: frozenset[DemandKey] = frozenset()
    _running: Counter[tuple[ServerId, DemandKey]] = attrs.field(factory=Counter)
    _reported_at: float | None = None

    def on_request(self, key: DemandKey) -> None:
        """Count one request."""
        self._requests[key] += 1

    def on_waiting(self, key: DemandKey, change: int) -> None:
        """Count a request that begins (`change` is 1) or stops (-1) waiting for a load."""
        _change_count(self._waiting, key, change)
        if change > 0 and key not in self._reported_waiting:
            self.urgent = True

    def on_dispatched(self, key: DemandKey, server: ServerId) -> None:
        """Count a request that begins to run at a server."""
        _change_count(self._running, (server, key), 1)

    def on_ended(self, key: DemandKey, server: ServerId, tokens: int) -> None:
        """Count a request that stopped running, and the tokens it generated."""
        _change_count(self._running, (server, key), -1)
        self._tokens[key] += tokens

    def waiting(self, key: DemandKey) -> int:
        """Return how many requests wait for a load of `key`."""
        return self._waiting[key]

    def report(self, node: MemberId, now: float) -> DemandReport:
        """Return the demand since the last report, most requested first, and start a new window."""
        keys = {*self._requests, *self._waiting, *self._tokens}
        ordered = sorted(keys, key=lambda key: (-self._requests[key], key.model, key.adapter or ""))
        rows = [
            ModelDemand(
                pool=key.pool,
                model=key.model,
                adapter=key.adapter or "",
                requests=self._requests[key],
                waiting=self._waiting[key],
                tokens=self._tokens[key],
            )
            for key in ordered
        ]
        use = [
            ModelUse(server, key.model, key.adapter or "", running)
            for (server, key), running in sorted(
                self._running.items(), key=lambda item: (item[0][0], item[0][1].model)
            )
        ]
        window_s = 0.0 if self._reported_at is None else now - self._reported_at
        self._begin_window(now)
        return DemandReport(node, window_s, rows, use)

    def _begin_window(self, now: float) -> None:
        self._reported_at = now
        self._requests.clear()
        self._tokens.clear()
        self._reported_waiting = frozenset(self._waiting)
        self.urgent = False


def _change_count(counter: Counter[Key], key: Key, change: int) -> None:
    """Change a count; keys that reach zero are removed."""
    counter[key] += change
    if counter[key] <= 0:
        del counter[key]
