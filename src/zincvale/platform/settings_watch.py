"""Reloads the seeds of a running process after a signal or a change of the settings file."""

from __future__ import annotations

import sys
from collections.abc import Callable

from zincvale.model.errors import ZincvaleError
from zincvale.runtime import log_events
from zincvale.runtime.logs import log


class SettingsWatch:
    """Reloads the seeds when the settings file has changed since it was last loaded.

    Parameters
    ----------
    modified_at : returns the modification time of the file, in any unit.
    load_seeds : reads the seeds; raises `ZincvaleError` when the file cannot be used.
    use_seeds : called with the seeds that were loaded.
    loaded_modified_at : modification time of the file that is in use, from before it was read.
    """

    def __init__(
        self,
        modified_at: Callable[[], int],
        load_seeds: Callable[[], tuple[str, ...]],
        use_seeds: Callable[[tuple[str, ...]], None],
        loaded_modified_at: int,
    ) -> None:
        self._modified_at = modified_at
        self._load_seeds = load_seeds
        self._use_seeds = use_seeds
        self._last_modified_at = loaded_modified_at

    def poll(self) -> None:
        """Reload the seeds if the file changed since the last poll."""
        modified_at = self._modified_at()
        if modified_at != self._last_modified_at:
            self._last_modified_at = modified_at
            self.reload()

    def reload(self) -> None:
        """Reload the seeds; the present ones stay in use if the file cannot be read."""
        try:
            seeds = self._load_seeds()
        except ZincvaleError as error:
            print(f"warning: {error}", file=sys.stderr)
            return
        log(log_events.SETTINGS_RELOADED, seeds=list(seeds))
        self._use_seeds(seeds)
