"""Imports every module of the package, so that everything that registers on import has done so."""

from __future__ import annotations

import importlib
import pkgutil

import zincvale


def import_every_module() -> list[str]:
    """Import all modules except `__main__` modules; return their names."""
    names = [
        module.name
        for module in pkgutil.walk_packages(zincvale.__path__, f"{zincvale.__name__}.")
        if not module.name.endswith("__main__")
    ]
    for name in names:
        importlib.import_module(name)
    return names


def is_own(kind: type) -> bool:
    """Return whether a class is defined in the package, and not in a test."""
    return kind.__module__.partition(".")[0] == zincvale.__name__
