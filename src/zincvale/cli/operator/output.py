"""Formats results as tables, JSON and YAML."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

import attrs
import orjson
import yaml

Row = Mapping[str, Any]


@attrs.frozen
class Column:
    """A column of a table: its title, and the function that returns its text for a row."""

    title: str
    show: Callable[[Row], str]


def json_text(value: Any) -> str:
    """Return indented JSON."""
    return orjson.dumps(value, option=orjson.OPT_INDENT_2).decode()


def yaml_text(documents: Iterable[Mapping[str, Any]]) -> str:
    """Return resources as a YAML file for `apply`: kind, name and spec, without observed fields."""
    declared = [
        {name: document[name] for name in ("kind", "name", "spec") if name in document}
        for document in documents
    ]
    return yaml.safe_dump_all(declared, sort_keys=False, explicit_start=True).rstrip("\n")


def table_text(rows: Sequence[Row], columns: Sequence[Column]) -> str:
    """Return an aligned table with a header line."""
    lines = [[column.title for column in columns]]
    lines += [[column.show(row) or "-" for column in columns] for row in rows]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def resource_columns(table: str) -> list[Column]:
    """Return the columns of a kind of resource."""
    return [_NAME, *_COLUMNS_BY_TABLE.get(table, [_SPEC]), _CONDITIONS]


def observed_columns(table: str) -> list[Column]:
    """Return the columns of members, moves, roles or replicas."""
    return _OBSERVED_COLUMNS[table]


def describe_text(resource: Mapping[str, Any]) -> str:
    """Return one resource in full: spec with defaults, conditions and observed fields."""
    lines = [f"Kind:     {resource['kind']}", f"Name:     {resource['name']}"]
    lines += [f"Version:  {resource.get('version', '-')}", "Spec:"]
    declared = resource.get("spec", {})
    effective = resource.get("effective_spec", declared)
    for name, value in effective.items():
        origin = "" if name in declared else "  (default)"
        lines.append(f"  {name}: {shown_value(value)}{origin}")
    if not effective:
        lines.append("  (not declared)")
    lines.append("Conditions:")
    conditions = resource.get("status", {}).get("conditions", [])
    lines += [condition_line(condition) for condition in conditions] or ["  (none)"]
    observed = resource.get("status", {}).get("observed", {})
    if observed:
        lines.append("Observed:")
        lines += [f"  {name}: {shown_value(value)}" for name, value in observed.items()]
    return "\n".join(lines)


def condition_line(condition: Mapping[str, Any]) -> str:
    """Return one condition as an indented line."""
    return (
        f"  {condition['type']:<11} {condition['status']:<8} {condition['reason']:<12} "
        f"{condition['message']}"
    )


def shown_value(value: Any) -> str:
    """Return a JSON value as text for a table or a line."""
    if isinstance(value, list):
        return ", ".join(shown_value(item) for item in value) or "(none)"
    if isinstance(value, bool):
        return "true" if value else "false"
    return "-" if value is None else str(value)


def _spec_column(name: str, title: str = "") -> Column:
    return Column(
        title or name.upper().replace("_", "-"),
        lambda row: shown_value(row.get("spec", {}).get(name)),
    )


def _observed_column(name: str) -> Column:
    return Column(
        name.upper().replace("_", "-"),
        lambda row: shown_value(row.get("status", {}).get("observed", {}).get(name)),
    )


def _field_column(name: str) -> Column:
    return Column(name.upper().replace("_", "-"), lambda row: shown_value(row.get(name)))


def _spec_text(row: Row) -> str:
    spec = row.get("spec", {})
    return " ".join(f"{name}={shown_value(value)}" for name, value in spec.items())


def _conditions_text(row: Row) -> str:
    conditions = row.get("status", {}).get("conditions", [])
    return " ".join(_short_condition(condition) for condition in conditions)


def _short_condition(condition: Mapping[str, Any]) -> str:
    if condition["status"] == "True":
        return str(condition["type"])
    mark = "!" if condition["status"] == "False" else "?"
    return f"{mark}{condition['type']}"


_NAME = _field_column("name")
_SPEC = Column("SPEC", _spec_text)
_CONDITIONS = Column("CONDITIONS", _conditions_text)

_COLUMNS_BY_TABLE: dict[str, list[Column]] = {
    "servers": [
        _spec_column("drained"),
        _observed_column("pool"),
        _observed_column("zone"),
        _observed_column("health"),
        _observed_column("running"),
        _observed_column("models"),
    ],
    "models": [
        _spec_column("pool"),
        _spec_column("weight_bytes"),
        _spec_column("min_replicas"),
        _spec_column("stake"),
    ],
    "adapters": [_spec_column("base_model"), _spec_column("weight_bytes")],
    "routes": [
        _spec_column("path"),
        _spec_column("pool"),
        _spec_column("stake"),
        _spec_column("at_most_once"),
    ],
}

_OBSERVED_COLUMNS: dict[str, list[Column]] = {
    "members": [
        _field_column(name)
        for name in ("member", "role", "zone", "api_address", "ready", "intent_version")
    ],
    "moves": [
        _field_column(name)
        for name in ("id", "kind", "state", "server", "name", "reason", "outcome")
    ],
    "roles": [_field_column(name) for name in ("role", "holder", "epoch")],
    "replicas": [
        _field_column(name)
        for name in ("member", "zone", "peer_address", "live", "voting", "chosen_version")
    ],
}
