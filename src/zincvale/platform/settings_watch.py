"""Reloads the seeds while a process runs: after a signal, or when the settings file changed."""

from __future__ import annotations

import sys
from collections.abc import Callable

from zincvale.model.errors import ZincvaleError


class SettingsWatch:
    """Remembers when the file that is in use last changed.

    Parameters
    ----------
    changed_at : returns when the file last changed, in any unit.
    load_seeds : reads the seeds; raises `ZincvaleError` when the file cannot be used.
    use_seeds : called with the seeds that were read.
    """

    def __init__(
        self,
        changed_at: Callable[[], int],
        load_seeds: Callable[[], tuple[str, ...]],
        use_seeds: Callable[[tuple[str, ...]], None],
    ) -> None:
        self._changed_at = changed_at
        self._load_seeds = load_seeds
        self._use_seeds = use_seeds
        self._last_changed_at = changed_at()

    def poll(self) -> None:
        """Reload the seeds if the file changed since the last poll."""
        changed_at = self._changed_at()
        if changed_at != self._last_changed_at:
            self._last_changed_at = changed_at
            self.reload()

    def reload(self) -> None:
        """Reload the seeds; those in use stay if the file cannot be read."""
        try:
            seeds = self._load_seeds()
        except ZincvaleError as error:
            print(f"warning: {error}", file=sys.stderr)
            return
        self._use_seeds(seeds)
