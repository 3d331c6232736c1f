"""The identity of one run of a process."""

from __future__ import annotations

import secrets

INCARNATION_BYTES = 8


def new_incarnation() -> str:
    """Return a random name for this run, which distinguishes a restart from a freeze."""
    return secrets.token_hex(INCARNATION_BYTES)
