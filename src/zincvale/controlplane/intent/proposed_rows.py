"""The rows as they would be after a change: an overlay of changed rows over stored rows."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

import attrs

from zincvale.controlplane.intent.row_codec import decode_fields


@attrs.frozen
class ChangedRow:
    """A row that a change puts or deletes.

    Attributes
    ----------
    kind, name : the resource.
    fields : its declared fields; None when it is deleted.
    content : the encoded fields, as they are stored; None when the row is deleted.
    """

    kind: str
    name: str
    fields: dict[str, Any] | None
    content: bytes | None


class ProposedRows:
    """Read access to the rows after a change; neither argument is modified.

    Parameters
    ----------
    stored : rows before the change.
    changed : rows that the change puts or deletes, by row id.
    """

    def __init__(self, stored: Mapping[str, bytes], changed: Mapping[str, ChangedRow]) -> None:
        self._stored = stored
        self.changed = changed

    def __contains__(self, row: str) -> bool:
        """Whether the row exists after the change."""
        changed = self.changed.get(row)
        if changed is not None:
            return changed.fields is not None
        return row in self._stored

    def fields(self, row: str) -> dict[str, Any]:
        """Return the declared fields of a row after the change; empty if the row does not exist."""
        changed = self.changed.get(row)
        if changed is not None:
            return changed.fields or {}
        return self.stored_fields(row)

    def stored_fields(self, row: str) -> dict[str, Any]:
        """Return the declared fields of a row before the change; empty if it does not exist."""
        content = self._stored.get(row)
        return {} if content is None else decode_fields(row, content)

    def deletes(self, row: str) -> bool:
        """Whether the change deletes a row that is stored."""
        changed = self.changed.get(row)
        return changed is not None and changed.fields is None and row in self._stored

    def written(self) -> Iterator[ChangedRow]:
        """Yield the rows that the change puts."""
        return (changed for changed in self.changed.values() if changed.fields is not None)

    def unchanged(self, kind: str) -> Iterator[tuple[str, bytes]]:
        """Yield the stored rows of a kind that the change leaves as they are; scans all rows."""
        prefix = f"{kind}/"
        for row, content in self._stored.items():
            if row.startswith(prefix) and row not in self.changed:
                yield row, content

    def names(self, kind: str) -> list[str]:
        """Return the names of a kind's resources after the change; scans all rows."""
        names = [row.partition("/")[2] for row, _ in self.unchanged(kind)]
        return names + [changed.name for changed in self.written() if changed.kind == kind]
