"""At-most-once claims on a simulated cluster: racing callers, failing nodes, and what ran.

Owns the rule that a request runs at most once here. Imports `simulator.cluster`,
`simulator.schedules`, `coordination`, `dataplane.claims` and the registry rows of `daemons`.

Read in this order: `machine` (a node with its claim service), `callers` (who sends and counts),
`run` (one seed).
"""
