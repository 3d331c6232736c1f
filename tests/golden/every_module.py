"""Imports every module of the package, so that every registration has run."""

from __future__ import annotations

import importlib
import pkgutil

import zincvale


def import_every_module() -> list[str]:
    """Import all modules but programs (`__main__`); return their names."""
    names = [
        module.name
        for module in pkgutil.walk_packages(zincvale.__path__, f"{zincvale.__name__}.")
        if not module.name.endswith("__main__")
    ]
    for name in names:
        importlib.import_module(name)
    return names


def is_own(kind: type) -> bool:
    """Return whether a class is the package's own, not a test's."""
    return kind.__module__.partition(".")[0] == zincvale.__name__
