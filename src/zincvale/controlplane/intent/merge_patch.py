"""JSON merge patch (RFC 7396)."""

from __future__ import annotations

from typing import Any


def apply_merge_patch(target: Any, patch: Any) -> Any:
    """Return `target` changed by `patch`; neither argument is modified.

    Objects are merged member by member, null removes a member, and any other value replaces the
    target.
    """
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for name, value in patch.items():
        if value is None:
            merged.pop(name, None)
        elif isinstance(value, dict):
            merged[name] = apply_merge_patch(merged.get(name), value)
        else:
            merged[name] = value
    return merged
