"""Resource kinds and observed tables, by the names that operators type."""

from __future__ import annotations

import difflib

from zincvale.cli.operator.errors import UsageError
from zincvale.controlplane.intent.row_codec import KIND_BY_TABLE

OBSERVED_TABLES = ("members", "moves", "roles", "replicas")
"""Tables that are observed and never declared; also the key of their rows in an API response."""


def table_of(kind: str) -> str:
    """Return the API's path segment for `zone`, `zones` or `Zone`; raises `UsageError`."""
    name = kind.lower()
    known = [*KIND_BY_TABLE, *OBSERVED_TABLES]
    for candidate in (name, f"{name}s"):
        if candidate in known:
            return candidate
    nearest = difflib.get_close_matches(name, known, n=1)
    remedy = f"did you mean {nearest[0]!r}?" if nearest else f"use one of {', '.join(known)}"
    raise UsageError(f"unknown kind {kind!r}", remedy)


def declared_table_of(kind: str) -> str:
    """Return `table_of` for a kind that is declared; raises `UsageError` for the others."""
    table = table_of(kind)
    if table in OBSERVED_TABLES:
        raise UsageError(
            f"{table} are observed, never declared", f"use one of {', '.join(KIND_BY_TABLE)}"
        )
    return table
