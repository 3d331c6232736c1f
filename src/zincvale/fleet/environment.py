"""The environment of a run: machine, package versions and commit."""

from __future__ import annotations

import os
import platform
from importlib import metadata
from pathlib import Path
from typing import Any

import psutil

from zincvale import __file__ as package_file

REPORTED_PACKAGES = ("zincvale", "tornado", "pycurl", "fastavro", "attrs", "mashumaro")


def machine() -> dict[str, Any]:
    """Return the machine's processors, memory, operating system and load average."""
    return {
        "processors": os.cpu_count(),
        "memory_bytes": psutil.virtual_memory().total,
        "system": platform.platform(),
        "load_average": [round(load, 2) for load in os.getloadavg()],
    }


def versions() -> dict[str, str]:
    """Return the versions of Python and of the main packages, and the commit."""
    found = {"python": platform.python_version(), "commit": commit()}
    for name in REPORTED_PACKAGES:
        try:
            found[name] = metadata.version(name)
        except metadata.PackageNotFoundError:
            found[name] = "not installed"
    return found


def commit() -> str:
    """Return the commit of the source tree, or `unknown` outside a git repository."""
    for parent in Path(package_file).resolve().parents:
        head = parent / ".git" / "HEAD"
        if head.is_file():
            return _resolve(head.parent, head.read_text(encoding="utf-8").strip())
    return "unknown"


def _resolve(git_folder: Path, head: str) -> str:
    reference = head.removeprefix("ref: ")
    if reference == head:
        return head
    loose = git_folder / reference
    if loose.is_file():
        return loose.read_text(encoding="utf-8").strip()
    packed = git_folder / "packed-refs"
    if packed.is_file():
        for line in packed.read_text(encoding="utf-8").splitlines():
            if line.endswith(f" {reference}"):
                return line.split()[0]
    return "unknown"
