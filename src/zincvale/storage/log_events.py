"""Log events of storage (3xxx)."""

from __future__ import annotations

from zincvale.model.log_events import declare

FILE_QUARANTINED = declare(
    3001, "file.quarantined", "A version file is unreadable; it was moved to `quarantine`."
)
FOLDER_CREATED = declare(
    3002, "folder.created", "A new disk identity was written to a data folder."
)
FOLDER_ABANDONED = declare(
    3003,
    "folder.abandoned",
    "Records are damaged: the disk got a new identity and joins as a new replica; its files were"
    " moved to `quarantine`.",
)
