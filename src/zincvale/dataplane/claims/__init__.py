"""At-most-once claims: a majority of voter nodes grants each request to one attempt.

Owns the votes, attempts and recorded outcomes of requests on at-most-once routes, in the memory of
the nodes; docs/design-claims.md, sections 1 and 2, states the guarantees and proves them. The
package implements `inference.dependencies.Claims`. It may import `zincvale.model`, the protocols of
`inference.dependencies` and, in `service` and `peer_call_queues` alone, `zincvale.transport` and
the event loop; all other modules are pure and take the time as an argument.

Reading order:

1. `records`: attempts and the state of one request, which merges as a join semilattice;
   `view`: which registered nodes vote on a request.
2. `messages`, `timings`, `events`, `claimant_effects`: the messages, the timeouts and limits, and
   the inputs and effects of the state machines.
3. `table`, `voter`: the bounded table and the voter's replies; `readiness`: when a voter may vote.
4. `votes`, `competing_attempts`, `claimant`: the ingress node's state machine of one request.
5. `own_attempts`, `requests`, `delivery`, `repair`, `outbox`: all requests of the node, delivery of
   outcomes, reading from other voters, and the effects that these collect.
6. `node_machine`: one state machine composed of the parts above; `service`, `peer_call_queues`: run
   it on the event loop and carry out its calls.
"""
