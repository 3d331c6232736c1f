"""Replicated registers: one record per key, agreed on by consensus as in Multi-Paxos.

This package contains the promises and records of a replica, the proposer (owner) of a key, the
decision which core becomes the owner, the routing of changes to the owner, the values that a core
knows to be chosen, the repair of values that disks lost, and the creation of a cluster. The code is
free of side effects: it takes inputs and the current time and returns effects.

It may import `coordination.changes`, `config`, `log_events`, `replication` and `model`; of `core`,
the context and messages; `membership.peer_table` and `registry`; `leases.messages`; and of
`delivery`, the tables and their deltas. It uses no event loop, file or socket.

Reading order: `epochs`, `messages`, `change_messages`, `records`, `change_batch`, `record_codec`,
`recovered_state`, `replica` (acceptor), `owner` (proposer), `ownership_proof`, `ownership`,
`proposal_router`, `chosen_values`, `value_repair`, `cluster_creation`.
"""
