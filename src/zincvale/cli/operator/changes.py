"""Changes that the commands send, and the text that reports their result."""

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
"""How a core's error message refers to one resource of a change."""


@attrs.frozen
class DeclaredState:
    """A boolean field that a command sets on a resource, and the condition that confirms it.

    The condition becomes true once the declared state has been reached.
    """

    kind: str
    name: str
    field: str
    value: bool
    condition: str

    def change_body(self) -> dict[str, Any]:
        """Return a change that sets the field; it applies to whatever version is current."""
        resource = {"kind": self.kind, "name": self.name, "spec": {self.field: self.value}}
        return {"baseVersion": None, "mode": "merge", "resources": [resource]}


async def apply_change(
    session: OperatorSession, body: Mapping[str, Any], order_id: str, limit_s: float
) -> Confirmation:
    """Send a change until it is confirmed or refused; an empty `order_id` is generated."""
    return await session.change(body, order_id or uuid.uuid4().hex, limit_s)


async def declare_state(
    session: OperatorSession,
    transport: CoreTransport,
    write: Callable[[str], None],
    state: DeclaredState,
    must_exist: bool,
    until: str,
    order_id: str,
    limit_s: float,
) -> Confirmation:
    """Declare a state; with `until`, return only when that condition is true.

    `must_exist` refuses an unknown resource, which could be declared but would drain nothing.
    """
    started_at = transport.now()
    target = resource_target(table_of(state.kind), state.name)
    if must_exist:
        await _require_existing(session, target)
    confirmation = await apply_change(session, state.change_body(), order_id, limit_s)
    if until:
        write(confirmation_text(confirmation, "table"))
        remaining_s = max(0.0, started_at + limit_s - transport.now())
        await watch_status(session, transport, write, target, until, remaining_s, as_json=False)
    return confirmation


async def _require_existing(session: OperatorSession, target: str) -> None:
    try:
        await session.read(target)
    except NotFoundError as error:
        raise NotFoundError(
            error.problem, f"{error.remedy} or declare it nonetheless with --force"
        ) from error
    except UnavailableError:
        # The change itself is retried for longer, so a name that cannot be checked is accepted.
        return


def confirmation_text(confirmation: Confirmation, output: str) -> str:
    """Return the text that reports a change as in force."""
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


def with_location(error: InvalidInputError, resources: list[FileResource]) -> InvalidInputError:
    """Prefix an error with the file and document of the `resources[N]` that it mentions."""
    match = _RESOURCE_POSITION.search(error.problem)
    if match is None or int(match.group(1)) >= len(resources):
        return error
    location = resources[int(match.group(1))].location
    return InvalidInputError(f"{location}: {error.problem}", error.remedy)
