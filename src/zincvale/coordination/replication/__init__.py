"""Replica sets: which disks store which keys, and how these sets change.

This package contains the configuration in a record and its quorum rule, the key `replica-sets`,
which declares the cores and the groups of replicas, the reducer of changes of this key, and the
reconciler that proposes them.

It may import `coordination.changes`, `model` and the messages of `membership`; only the reconciler
may also import the context and messages of `core` and the owner of `registers`.

Reading order: `replica_config`, `replica_sets`, `replica_set_changes`, `replica_set_reconciler`.
"""
