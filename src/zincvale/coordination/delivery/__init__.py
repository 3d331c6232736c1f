"""Delivery: how values, topics and members reach nodes, and when a version is applied everywhere.

Owns tables with their recent deltas, both sides of the long poll, the ephemeral topics, and the
tracking of applied versions that decides when a change is acknowledged.

May import `replication`, `registers` (messages), `membership` (`registry`), `leases` (the grantor),
`changes` and from `core` the messages and the shared `context`; never a machine.

Read in this order: `versioned_table`, the tables that are delivered; `messages`; `long_poll_server`
and `long_poll_client`; `ephemeral_topics` and `topic_replicator`, tables that are not stored but
published again by their source; `applied_versions` and `rollout`, the rule for acknowledgements.
"""
