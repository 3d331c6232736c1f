"""Reads JSON bodies that may be truncated or not JSON."""

from __future__ import annotations

from typing import Any

import orjson


def json_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object in `body`, or an empty dict if it is not a JSON object."""
    try:
        data = orjson.loads(body)
    except orjson.JSONDecodeError:
        return {}
    return data if isinstance(data, dict) else {}
