"""The marker route, which no caller uses: the rig changes its path to observe changes in force."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

MARKER_ROUTE = "fleet-marker"
MARKER_PATH_PREFIX = "/v1/fleet-marker/"


def marker_path(marker: int) -> str:
    """Return the path of the marker route for the marker number `marker`."""
    return f"{MARKER_PATH_PREFIX}{marker}"


def marker_of(resources: Iterable[dict[str, Any]]) -> int | None:
    """Return the marker number in a change's resources, or None when they do not set one."""
    for resource in resources:
        if resource.get("kind") != "Route" or resource.get("name") != MARKER_ROUTE:
            continue
        path = str((resource.get("spec") or {}).get("path", ""))
        if path.startswith(MARKER_PATH_PREFIX):
            return int(path.removeprefix(MARKER_PATH_PREFIX))
    return None
