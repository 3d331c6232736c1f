"""Command line of the stand-ins, each of which runs in its own process."""

from __future__ import annotations

import sys

import fire

from zincvale.model.errors import ZincvaleError
from zincvale.standins import programs
from zincvale.standins.process import run_until_stopped
from zincvale.standins.settings import (
    CallersSettings,
    LanguageModelSettings,
    LookupSettings,
    OperatorsSettings,
    PlatformSettings,
    StoreSettings,
    load_settings,
)

EXIT_REFUSED = 2


class StandIns:
    """Programs that stand in for what surrounds zincvale.

    Each reads one settings file, listens on loopback addresses only, and stops by itself after
    --max-seconds, on SIGTERM and when its parent process ends.
    """

    def language_model(self, settings: str, max_seconds: float) -> None:
        """Run one language-model server.

        Args:
            settings: the settings file.
            max_seconds: the process stops by itself after so many seconds.
        """
        program = programs.language_model_program(load_settings(LanguageModelSettings, settings))
        run_until_stopped(program, max_seconds)

    def lookup(self, settings: str, max_seconds: float) -> None:
        """Run one lookup server.

        Args:
            settings: the settings file.
            max_seconds: the process stops by itself after so many seconds.
        """
        program = programs.lookup_program(load_settings(LookupSettings, settings))
        run_until_stopped(program, max_seconds)

    def store(self, settings: str, max_seconds: float) -> None:
        """Run one weight store.

        Args:
            settings: the settings file.
            max_seconds: the process stops by itself after so many seconds.
        """
        program = programs.store_program(load_settings(StoreSettings, settings))
        run_until_stopped(program, max_seconds)

    def platform(self, settings: str, max_seconds: float) -> None:
        """Run the platform: server list, readiness polls, node hand-out.

        Args:
            settings: the settings file.
            max_seconds: the process stops by itself after so many seconds.
        """
        program = programs.platform_program(load_settings(PlatformSettings, settings))
        run_until_stopped(program, max_seconds)

    def callers(self, settings: str, max_seconds: float) -> None:
        """Drive callers against the nodes that the platform hands out.

        Args:
            settings: the settings file.
            max_seconds: the process stops by itself after so many seconds.
        """
        program = programs.callers_program(load_settings(CallersSettings, settings))
        run_until_stopped(program, max_seconds)

    def operators(self, settings: str, max_seconds: float) -> None:
        """Send scripted changes to the cores.

        Args:
            settings: the settings file.
            max_seconds: the process stops by itself after so many seconds.
        """
        program = programs.operators_program(load_settings(OperatorsSettings, settings))
        run_until_stopped(program, max_seconds)


def main() -> None:
    """Run the command that the arguments name."""
    try:
        fire.Fire(StandIns(), name="zincvale.standins")
    except ZincvaleError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(EXIT_REFUSED)


if __name__ == "__main__":
    main()
