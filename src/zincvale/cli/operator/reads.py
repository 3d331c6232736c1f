"""What `get` asks of the cores and shows."""

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

_KEY_BY_TABLE = {"members": "member", "moves": "id", "roles": "role", "replicas": "member"}


def resource_target(table: str, name: str) -> str:
    """Return the path of one resource."""
    return f"/v1/{table}/{urllib.parse.quote(name, safe='')}"


async def get_intent(session: OperatorSession, output: str) -> str:
    """Return everything that is declared."""
    body = await session.read_json("/v1/intent")
    if output == "json":
        return json_text(body)
    if output == "yaml":
        return f"# version {body['version']}\n{yaml_text(body['resources'])}"
    counts: dict[str, int] = {}
    for resource in body["resources"]:
        counts[resource["kind"]] = counts.get(resource["kind"], 0) + 1
    lines = [f"version {body['version']}", *[f"  {kind}: {n}" for kind, n in counts.items()]]
    return "\n".join(lines)


async def get_resources(session: OperatorSession, table: str, name: str, output: str) -> str:
    """Return the resources of a kind, or one of them."""
    if name:
        body = await session.read_json(resource_target(table, name))
        resources = [body]
    else:
        body = await _all_pages(session, table)
        resources = body["resources"]
    if output == "json":
        return json_text(body)
    if output == "yaml":
        return yaml_text(resources)
    return table_text(resources, resource_columns(table))


async def get_observed(session: OperatorSession, table: str, name: str, output: str) -> str:
    """Return members, moves, roles or replicas, or the one named `name`."""
    body = await session.read_json(f"/v1/{table}")
    rows: list[dict[str, Any]] = body[table]
    if name:
        rows = [row for row in rows if row.get(_KEY_BY_TABLE[table]) == name]
        if not rows:
            raise NotFoundError(f"no {name!r} among {table}", f"see zincvale get {table}")
    if output != "table":
        return json_text({**body, table: rows})
    return table_text(rows, observed_columns(table))


async def _all_pages(session: OperatorSession, table: str) -> dict[str, Any]:
    body = await session.read_json(f"/v1/{table}?limit={PAGE_ROWS}")
    while "next" in body:
        query = urllib.parse.urlencode({"limit": PAGE_ROWS, "after": body.pop("next")})
        page = await session.read_json(f"/v1/{table}?{query}")
        page["resources"] = [*body["resources"], *page["resources"]]
        body = page
    return body
