"""Membership: which processes exist, how they are reached and which of them are live.

Owns the heartbeats of the cores, the member table that nodes are sent, and the registry: the
durable set of nodes whose majorities acknowledge versions.

May import `replication`, `registers` (state of the keys), `leases` (who has one), `changes` and of
`core` the messages and the shared `context`; never a machine.

Read in this order: `messages`; `heartbeats` and `peer_table`, the cores among each other;
`member_codec` and `member_table`, what nodes see; `registry`, the durable set and its two-step
change; `registry_reconciler`, which nodes enter and leave it.
"""
