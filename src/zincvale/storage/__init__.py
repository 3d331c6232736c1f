"""Durable storage of a core: version files, and the disk they are written through.

Owns the layout of a data folder, the identity of a disk, checksums, quarantine of unreadable files
and the removal of old ones. It knows nothing of what a file says beyond its first byte.

May import `model`, and of `coordination.registers` the marks of a file and the recovered state.

Reading order: `disk`, `version_files`, `quota_disk` (for rigs that fill a disk).
"""
