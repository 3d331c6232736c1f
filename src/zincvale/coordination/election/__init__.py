"""Leader election: which process leads a singleton role, such as the placer, and until when.

Owns the messages, the holder's and the grantor's side of a leader lease, and the rules by which a
core becomes a candidate. Each term has a fencing epoch, the version of the durable key `role/NAME`.

May import `replication`, `registers` (messages of changes), `membership` (`peer_table`), from
`leases` the allowance for clock rates, and from `core` the shared `context`; never a machine.

Read in this order: `messages`; `leader_lease`, the lease itself, with the legal transitions of a
holder; `leader_election`, when a core becomes a candidate and how it learns that a role is free.
"""
