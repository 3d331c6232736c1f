"""Replica sets: which disks store which keys, and how these sets change.

Owns the configuration in a record and its quorum rule, the key `replica-sets` that declares cores
and groups of replicas, the reducer of its changes, and the reconciler that proposes them.

May import `coordination.changes`, `model`, the messages of `membership` and `core`, the context of
`core` and the owner of `registers` (the reconciler only).

Reading order: `replica_config`, `replica_sets`, `replica_set_changes`, `replica_set_reconciler`.
"""
