"""Membership: which processes exist, what their addresses are and which of them are live.

Owns the heartbeats of the cores, the member table that is sent to nodes, and the registry: the
durable set of nodes whose majorities confirm versions.

May import `replication`, `registers` (state of the keys), `leases` (who has one), `changes` and
from `core` the messages and the shared `context`; never a machine.

Read in this order: `messages`; `heartbeats` and `peer_table`, how cores learn of each other;
`member_codec` and `member_table`, the table that nodes receive; `registry`, the durable set and its
two-step change; `registry_reconciler`, which decides which nodes are added and removed.
"""
