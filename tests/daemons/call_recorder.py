"""A test double that records which methods of a component are called, and in which order."""

from __future__ import annotations

from zincvale.model.machine import Tick


class CallRecorder:
    """Replaces a component and appends the name of each call to one list."""

    def __init__(self, name: str, calls: list[str]) -> None:
        self._name = name
        self._calls = calls

    def __getattr__(self, method: str):
        def call(*arguments: object) -> None:
            suffix = " Tick" if arguments == (Tick(),) else ""
            self._calls.append(f"{self._name}.{method}{suffix}")

        return call
