"""Takes the seeds anew while a process runs: after a signal, or when the settings file changed."""

from __future__ import annotations

import sys
from collections.abc import Callable

from zincvale.model.errors import ZincvaleError


class SettingsWatch:
    """Remembers which state of the file is in use.

    Parameters
    ----------
    changed_at : tells when the file last changed, in any unit.
    load_seeds : reads the seeds; raises `ZincvaleError` when the file cannot be used.
    use_seeds : takes them.
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
        self._seen = changed_at()

    def look(self) -> None:
        """Take the seeds anew if the file changed since the last look."""
        changed_at = self._changed_at()
        if changed_at != self._seen:
            self._seen = changed_at
            self.reload()

    def reload(self) -> None:
        """Take the seeds anew; what was read before stays in use if the file cannot be read."""
        try:
            seeds = self._load_seeds()
        except ZincvaleError as error:
            print(f"warning: {error}", file=sys.stderr)
            return
        self._use_seeds(seeds)
