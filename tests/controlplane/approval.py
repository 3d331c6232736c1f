"""Comparison with the control plane's approved transcripts, which are stored beside the tests."""

from __future__ import annotations

import inspect
from pathlib import Path

import testtools

from tests import approval


def verify(case: testtools.TestCase, name: str, transcript: str) -> None:
    """Compare `transcript` with `approved/NAME.txt` in the folder of the case's module."""
    folder = Path(inspect.getfile(type(case))).parent / "approved"
    approval.verify(case, folder, name, transcript)
