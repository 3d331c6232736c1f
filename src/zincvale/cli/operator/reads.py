"""Reads resources and observed tables from the cores for `get`, and formats them."""

from __future__ import annotations

import urllib.parse
from typing import Any

from zincvale.cli.operator.output import (
    json_text,
    observed_columns,
    resource_columns,
    table_text,
    yaml_text,
)
from zincvale.cli.operator.session import OperatorSession
from zincvale.model.errors import NotFoundError

PAGE_ROWS = 1_000
"""Resources requested per page of a list."""

_IDENTIFIER_BY_TABLE = {"members": "member", "moves": "id", "roles": "role", "replicas": "member"}
"""Field that identifies a row, by observed table."""


def resource_target(table: str, name: str) -> str:
    """Return the control API's path of one resource."""
    return f"/v1/{table}/{urllib.parse.quote(name, safe='')}"


async def get_intent(session: OperatorSession, output: str) -> str:
    """Return all declared resources; as a table, their count by kind."""
    body = await session.read_json("/v1/intent")
    if output == "json":
        return json_text(body)
    if output == "yaml":
        return f"# version {body['version']}\n{yaml_text(body['resources'])}"
    counts: dict[str, int] = {}
    for resource in body["resources"]:
        counts[resource["kind"]] = counts.get(resource["kind"], 0) + 1
    lines = [
        f"version {body['version']}",
        *[f"  {kind}: {count}" for kind, count in counts.items()],
    ]
    return "\n".join(lines)


async def get_resources(session: OperatorSession, table: str, name: str, output: str) -> str:
    """Return the resources of a kind, or only the one named `name`."""
    if name:
        body = await session.read_json(resource_target(table, name))
        resources = [body]
    else:
        body = await _read_all_pages(session, table)
        resources = body["resources"]
    if output == "json":
        return json_text(body)
    if output == "yaml":
        return yaml_text(resources)
    return table_text(resources, resource_columns(table))


async def get_observed(session: OperatorSession, table: str, name: str, output: str) -> str:
    """Return the members, moves, roles or replicas, or only the row identified by `name`."""
    body = await session.read_json(f"/v1/{table}")
    rows: list[dict[str, Any]] = body[table]
    if name:
        rows = [row for row in rows if row.get(_IDENTIFIER_BY_TABLE[table]) == name]
        if not rows:
            raise NotFoundError(f"no {name!r} in {table}", f"see zincvale get {table}")
    if output != "table":
        return json_text({**body, table: rows})
    return table_text(rows, observed_columns(table))


async def _read_all_pages(session: OperatorSession, table: str) -> dict[str, Any]:
    body = await session.read_json(f"/v1/{table}?limit={PAGE_ROWS}")
    while "next" in body:
        query = urllib.parse.urlencode({"limit": PAGE_ROWS, "after": body.pop("next")})
        page = await session.read_json(f"/v1/{table}?{query}")
        page["resources"] = [*body["resources"], *page["resources"]]
        body = page
    return body
