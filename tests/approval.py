"""Compares transcripts with approved files."""

from __future__ import annotations

import os
from pathlib import Path

import testtools

APPROVE_VARIABLE = "ZINCVALE_APPROVE"


def verify(case: testtools.TestCase, folder: Path, name: str, transcript: str) -> None:
    """Compare `transcript` with `folder/NAME.txt`; ZINCVALE_APPROVE=1 writes the file instead."""
    path = folder / f"{name}.txt"
    if os.environ.get(APPROVE_VARIABLE) == "1":
        path.write_text(transcript + "\n", encoding="utf-8")
    expected = path.read_text(encoding="utf-8") if path.exists() else ""
    case.maxDiff = None
    case.assertEqual(expected.rstrip("\n"), transcript.rstrip("\n"))
