"""Election: which process leads a singleton role, such as the placer's, and until when.

Owns the messages, the two sides of a leader lease and the candidacy of a core. A term is fenced by
its epoch, the version of the durable key `role/NAME`.

May import `replication`, `registers` (messages of changes), `membership` (`peer_table`), of
`leases` the allowance for clock rates, and of `core` the shared `context`; never a machine.

Read in this order: `messages`; `leader_lease`, the lease itself, with the legal transitions of a
holder; `leader_election`, when a core stands for a role and how it learns that one is free.
"""
