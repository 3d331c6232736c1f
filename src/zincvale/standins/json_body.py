"""Reading of JSON bodies that may be cut off or no JSON at all."""

from __future__ import annotations

from typing import Any

import orjson


def json_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object in `body`; empty when it holds none."""
    try:
        data = orjson.loads(body)
    except orjson.JSONDecodeError:
        return {}
    return data if isinstance(data, dict) else {}
