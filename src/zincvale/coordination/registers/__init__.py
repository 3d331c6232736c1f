"""Replicated registers: one consensus-kept record for each key, as in Multi-Paxos.

Owns the promise and record of a replica, the proposer (owner) of a key, who may become the owner,
how changes reach the owner, what a core knows to be chosen, the repair of values that disks lost,
and the creation of a cluster. All of it is pure: inputs and the time in, effects out.

May import `coordination.changes`, `config`, `log_events`, `replication`, `model`, and of `core` the
context and messages; also `membership.peer_table` and `registry`, `leases.messages`, and of
`delivery` the tables and their deltas. It knows no event loop, file or socket.

Reading order: `epochs`, `messages`, `change_messages`, `records`, `change_batch`, `record_codec`,
`recovered_state`, `replica` (acceptor), `owner` (proposer), `ownership_proof`, `ownership`,
`proposal_router`, `chosen_values`, `value_repair`, `cluster_creation`.
"""
