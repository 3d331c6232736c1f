"""The intent of a what-if run; the core's own reducer checks and merges its changes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson

from zincvale.controlplane.intent.reducer import IntentReducer
from zincvale.controlplane.intent.row_codec import IntentDecoder
from zincvale.dataplane.policies.registry import policy_names
from zincvale.model.control_tables import Intent
from zincvale.model.resources import Document

MERGE = "merge"


class IntentStore:
    """The newest version of the intent, as rows.

    Parameters
    ----------
    on_change : called with each new version.
    """

    def __init__(self, on_change: Callable[[Intent], None]) -> None:
        self.version = 0
        self._on_change = on_change
        self._reducer = IntentReducer(frozenset(policy_names()))
        self._rows: dict[str, bytes] = {}
        self._decoder = IntentDecoder()

    @property
    def intent(self) -> Intent:
        """The newest version of the intent."""
        return self._decoder.intent

    def apply(self, resources: list[dict[str, Any]], mode: str = MERGE) -> Intent:
        """Check and apply a change as a core does.

        An invalid one raises a `ZincvaleError` and changes nothing.
        """
        changed_rows = self.check(resources, mode)
        for row, content in changed_rows.items():
            if content is None:
                self._rows.pop(row, None)
            else:
                self._rows[row] = content
        self.version += 1
        intent = self._decoder.update(self.version, self._rows)
        self._on_change(intent)
        return intent

    def check(self, resources: list[dict[str, Any]], mode: str = MERGE) -> dict[str, bytes | None]:
        """Return the rows that a change would write; an invalid one raises a `ZincvaleError`."""
        body = orjson.dumps({"mode": mode, "resources": resources})
        return self._reducer.changed_rows(self._rows, body)


def resources_of(documents: list[Document]) -> list[dict[str, Any]]:
    """Return documents as the list of resources that a change consists of."""
    return [document.to_dict() for document in documents]
