"""The operators that the rig simulates: changes, resends, races and lost responses.

Every request and response is written to the journal `operators.jsonl`, which the checks read.
"""

from __future__ import annotations

import itertools
from pathlib import Path
from typing import Any

import attrs
import orjson
from tornado import gen

from zincvale.fleet.clients import NO_RESPONSE, RigClient, RigResponse
from zincvale.fleet.invariants.markers import MARKER_ROUTE, marker_of, marker_path
from zincvale.fleet.invariants.operations import HTTP_OK, REJECTED_STATUSES
from zincvale.fleet.rig_journal import boot_time_s

OPERATORS_JOURNAL = "operators.jsonl"
ATTEMPT_TIMEOUT_S = 5.0
READ_TIMEOUT_S = 2.0
HANG_UP_AFTER_S = 0.02
RESEND_PAUSE_S = 0.3
ATTEMPTS = 12


@attrs.frozen
class Change:
    """One operator's change, with the order id that all its attempts carry."""

    order_id: str
    base_version: int | None
    resources: list[dict[str, Any]]
    mode: str = "merge"

    def body(self) -> dict[str, Any]:
        """Return the POST body."""
        return {
            "baseVersion": self.base_version,
            "mode": self.mode,
            "resources": self.resources,
        }


class Operators:
    """Sends changes to the cores and journals the responses.

    Parameters
    ----------
    client : the rig's HTTP client.
    cores : API address of each core; the table may change during the run.
    journals : the journal folder.
    run_name : prefix of the order ids.
    """

    def __init__(
        self, client: RigClient, cores: dict[str, str], journals: Path, run_name: str
    ) -> None:
        self._client = client
        self._cores = cores
        self._file = (journals / OPERATORS_JOURNAL).open("ab", buffering=0)
        self._run_name = run_name
        self._numbers = itertools.count(1)
        self._markers = itertools.count(1)
        self._turn = itertools.count()
        self.newest_marker = 0
        self.newest_version = 0
        self._marker_version = 0
        self.marker_pool = ""

    def new_change(
        self,
        resources: list[dict[str, Any]],
        base_version: int | None = None,
        mode: str = "merge",
    ) -> Change:
        """Return a change with a fresh order id."""
        order_id = f"{self._run_name}-order-{next(self._numbers)}"
        return Change(order_id, base_version, resources, mode)

    def marker_resource(self) -> tuple[int, dict[str, Any]]:
        """Return the next marker number and the marker route that carries it."""
        marker = next(self._markers)
        spec = {"path": marker_path(marker), "pool": self.marker_pool}
        return marker, {"kind": "Route", "name": MARKER_ROUTE, "spec": spec}

    async def apply_marker(self) -> bool:
        """Change the path of the marker route; return whether the change was acknowledged."""
        _, resource = self.marker_resource()
        return await self.apply_marker_change(self.new_change([resource]))

    async def apply_marker_change(self, change: Change) -> bool:
        """Apply a change of the marker route, and record the marker once acknowledged."""
        response = await self.apply(change)
        version = response.field("version") or 0
        if response.ok and version > self._marker_version:
            self.newest_marker = marker_of(change.resources) or 0
            self._marker_version = version
        return response.ok

    async def apply(self, change: Change, attempts: int = ATTEMPTS) -> RigResponse:
        """Send a change until it is acknowledged, rejected for good, or out of attempts."""
        response = RigResponse(NO_RESPONSE)
        for attempt in range(1, attempts + 1):
            response = await self.attempt(change, attempt)
            if response.ok or response.status in REJECTED_STATUSES:
                return response
            await gen.sleep(RESEND_PAUSE_S)
        return response

    async def attempt(
        self, change: Change, attempt: int = 1, timeout_s: float = ATTEMPT_TIMEOUT_S
    ) -> RigResponse:
        """Send a change once, to the next core in turn."""
        core, address = self._next_core()
        self._write(
            "apply",
            order_id=change.order_id,
            base_version=change.base_version,
            change=change.body(),
            attempt=attempt,
            core=core,
        )
        headers = {"Idempotency-Key": change.order_id}
        response = await self._client.post(address, "/v1/intent", change.body(), timeout_s, headers)
        version = response.field("version") if response.status == HTTP_OK else None
        self._write(
            "applied",
            order_id=change.order_id,
            status=response.status,
            version=version,
            body=response.body if not response.ok else None,
            attempt=attempt,
            core=core,
        )
        if version is not None:
            self.newest_version = max(self.newest_version, version)
        return response

    async def current_version(self) -> int | None:
        """Return the intent version of the first core that responds, or None."""
        for _ in range(len(self._cores)):
            _, address = self._next_core()
            response = await self._client.get(address, "/v1/intent", READ_TIMEOUT_S)
            if response.ok:
                version: int | None = response.field("version")
                return version
        return None

    def add_core(self, name: str, address: str) -> None:
        """Add a core to those that changes are sent to."""
        self._cores[name] = address

    def remove_core(self, name: str) -> None:
        """Remove a core from those that changes are sent to."""
        self._cores.pop(name, None)

    def close(self) -> None:
        """Close the journal."""
        self._file.close()

    def _next_core(self) -> tuple[str, str]:
        names = sorted(self._cores)
        name = names[next(self._turn) % len(names)]
        return name, self._cores[name]

    def _write(self, event: str, **fields: Any) -> None:
        row = {"t": boot_time_s(), "event": event, **fields}
        self._file.write(orjson.dumps(row, option=orjson.OPT_APPEND_NEWLINE))
