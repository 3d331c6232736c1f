"""Reads KNOWN-RED.txt, the list of tests that fail because of a known fault.

An entry begins with a test id, or with the file of a played day, at the start of a line. The
indented lines after it give the command and seed, what was seen and the open issue. Empty lines and
lines that begin with `#` are skipped.
"""

from __future__ import annotations

from pathlib import Path

KNOWN_FAILURES = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_failures(text: str) -> dict[str, str]:
    """Return the details of each entry by the id of its test; raises `ValueError`."""
    entries: dict[str, list[str]] = {}
    current: list[str] | None = None
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        if not line[0].isspace():
            current = entries.setdefault(line.strip(), [])
        elif current is None:
            raise ValueError(f"details before the first test: {line!r}; name the test first")
        else:
            current.append(line.strip())
    return {test: " ".join(details) for test, details in entries.items()}


def read_known_failures() -> dict[str, str]:
    """Return the entries of the repository's KNOWN-RED.txt, or none when it does not exist."""
    if not KNOWN_FAILURES.exists():
        return {}
    return known_failures(KNOWN_FAILURES.read_text(encoding="utf-8"))
