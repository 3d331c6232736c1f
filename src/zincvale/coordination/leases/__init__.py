"""Member leases: a node serves only while a majority of the cores granted it a lease.

Owns the messages for renewals, grants and evidence of a partition; the cores' grants and the
applied versions that nodes report; and the nodes' side of the lease. `delivery` decides from the
applied versions when a change is acknowledged; `node` decides what a node without a lease may do.

May import `replication` (quorums), `registers` (state of the keys), `membership` (the addresses of
processes), `delivery` (`applied_versions`), and from `core` the messages and the shared `context`;
never a machine of `core` or `node`.

Read in this order: `messages`; `lease_grantor`, whose docstring states the invariant; its caller
`core_leases`; `catch_up`, which determines when a started core may grant; `member_lease`, the
node's side; `renewal_client` and `renewal_batcher`, which let a node renew with one call instead of
one message for each core.
"""
