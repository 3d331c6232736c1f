"""Stream journal: replicates the chunks of a stream to a peer before the caller gets them.

Owns the chunks of the streams that this node relays and, as a replica, those of other nodes,
so that a caller can resume a stream at any node after its ingress node is lost; fences stop writes
of an earlier ingress node. docs/design-claims.md, sections 1 and 3, states the guarantees and their
reasons. The package implements `inference.dependencies.StreamJournal`. It may import
`zincvale.model`, the protocols of `inference.dependencies` and, in `service` alone,
`zincvale.transport` and the event loop; all other modules are pure and take the time as an
argument.

Reading order:

1. `messages`, `timings`, `events`: the messages, the timeouts and limits, and the inputs and
   effects of the state machines.
2. `peer_choice`: which peer stores a node's streams.
3. `replica_store`: the replica's side; `writer`: the ingress node's side, with group commit.
4. `failover`: the state machine that resumes a stream elsewhere.
5. `node_machine`: one state machine composed of the parts above; `service`: runs it on the event
   loop.
"""
