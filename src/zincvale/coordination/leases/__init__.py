"""Member leases: a node serves only while a majority of the cores granted it a lease.

Owns the messages of renewals, grants and evidence of a partition; the cores' grants and the
versions that nodes report as applied; and the nodes' side of their lease. What follows from applied
versions is decided in `delivery`; what a node without a lease may do, in `node`.

May import `replication` (quorums), `registers` (state of the keys), `membership` (how processes are
reached), `delivery` (`applied_versions`), and of `core` the messages and the shared `context`;
never a machine of `core` or `node`.

Read in this order: `messages`; `lease_grantor`, whose docstring states the invariant; its caller
`core_leases`; `catch_up`, which says when a started core may grant; `member_lease`, the node's
side; `renewal_client` and `renewal_batcher`, by which a node renews with one call instead of one
message for each core.
"""
