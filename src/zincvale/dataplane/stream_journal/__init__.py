"""Stream journal: chunks of streams, replicated to a peer before the caller gets them.

Owns the chunks of the streams that this node relays and, as a replica, those of other nodes,
so that a caller can resume a stream at any node after its ingress node is lost; fences keep an
earlier ingress node from writing. docs/design-claims.md, sections 1 and 3, states the promises and
the reasons. The package implements `inference.dependencies.StreamJournal`. It may import
`zincvale.model`, the protocols of `inference.dependencies` and, in `service` alone,
`zincvale.transport` and the event loop; all other modules are pure and are given the time.

Reading order:

1. `messages`, `timings`, `events`: what is sent, when, and what goes in and out.
2. `peer_choice`: which peer stores a node's streams.
3. `replica_store`: the replica's side; `writer`: the ingress node's side, with group commit.
4. `failover`: the state machine that resumes a stream elsewhere.
5. `node_machine`: all of it as one machine; `service`: what runs it.
"""
