"""Delivery: how values, topics and members reach nodes, and when a version is applied everywhere.

Owns tables with their recent deltas, long polls on both sides, the ephemeral topics, and the count
of applied versions by which a change is acknowledged.

May import `replication`, `registers` (messages), `membership` (`registry`), `leases` (the grantor),
`changes` and of `core` the messages and the shared `context`; never a machine.

Read in this order: `versioned_table`, what is delivered; `messages`; `long_poll_server` and
`long_poll_client`; `ephemeral_topics` and `topic_replicator`, tables rebuilt from their source;
`applied_versions` and `rollout`, the rule of acknowledgement.
"""
