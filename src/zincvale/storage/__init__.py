"""Durable storage of a core: version files, and the disk they are written through.

Owns the layout of a data folder, the identity of a disk, checksums, quarantine of unreadable files
and the removal of old ones. Of the content of a file it interprets only the first byte.

May import `model`, and from `coordination.registers` the marks of snapshots and changes and the
recovered state.

Reading order: `disk`, `version_files`, `quota_disk` (for tests that fill a disk).
"""
