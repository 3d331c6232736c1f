"""Changes that the commands send, and what is said of them."""

from __future__ import annotations

import re
import uuid
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from zincvale.cli.operator.files import FileResource
from zincvale.cli.operator.kinds import table_of
from zincvale.cli.operator.output import json_text
from zincvale.cli.operator.reads import resource_target
from zincvale.cli.operator.session import Confirmation, CoreTransport, OperatorSession
from zincvale.cli.operator.watch import watch_status
from zincvale.model.errors import InvalidInputError, NotFoundError, UnavailableError

_RESOURCE_POSITION = re.compile(r"resources\[(\d+)\]")


@attrs.frozen
class DeclaredState:
    """A field of one resource that a command sets, and the condition that shows it done."""

    kind: str
    name: str
    field: str
    value: bool
    condition: str

    def change_body(self) -> dict[str, Any]:
        """Return the change that declares it, on whatever version is current."""
        resource = {"kind": self.kind, "name": self.name, "spec": {self.field: self.value}}
        return {"baseVersion": None, "mode": "merge", "resources": [resource]}


async def apply_change(
    session: OperatorSession, body: Mapping[str, Any], order_id: str, limit_s: float
) -> Confirmation:
    """Send a change under `order_id`, or a fresh one, until it is confirmed or refused."""
    return await session.change(body, order_id or uuid.uuid4().hex, limit_s)


async def declare_state(
    session: OperatorSession,
    transport: CoreTransport,
    write: Callable[[str], None],
    state: DeclaredState,
    known_only: bool,
    until: str,
    order_id: str,
    limit_s: float,
) -> Confirmation:
    """Declare a state; with `until`, return when that condition holds.

    `known_only` refuses a name that no core knows: it would be declared and drain nothing.
    """
    started_at = transport.now()
    target = resource_target(table_of(state.kind), state.name)
    if known_only:
        await _require_known(session, target)
    confirmation = await apply_change(session, state.change_body(), order_id, limit_s)
    if until:
        write(confirmation_text(confirmation, "table"))
        left_s = max(0.0, started_at + limit_s - transport.now())
        await watch_status(session, transport, write, target, until, left_s, as_json=False)
    return confirmation


async def _require_known(session: OperatorSession, target: str) -> None:
    try:
        await session.read(target)
    except NotFoundError as error:
        raise NotFoundError(
            error.problem, f"{error.remedy} or declare it nonetheless with --force"
        ) from error
    except UnavailableError:
        # The change itself tries longer; a name that cannot be checked is not refused.
        return


def confirmation_text(confirmation: Confirmation, output: str) -> str:
    """Return what is said of a change in force."""
    if output == "json":
        return json_text(
            {
                "state": "in-force",
                "version": confirmation.version,
                "order_id": confirmation.order_id,
                "attempts": confirmation.attempts,
            }
        )
    return f"in force: version {confirmation.version} (order {confirmation.order_id})"


def with_place(error: InvalidInputError, resources: list[FileResource]) -> InvalidInputError:
    """Return the error with the file and document that `resources[N]` in it stands for."""
    match = _RESOURCE_POSITION.search(error.problem)
    if match is None or int(match.group(1)) >= len(resources):
        return error
    place = resources[int(match.group(1))].where
    return InvalidInputError(f"{place}: {error.problem}", error.remedy)
