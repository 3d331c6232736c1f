"""Simulation of at-most-once claims with racing callers and failing nodes.

Owns the check that no request runs twice. Imports `simulator.cluster`,
`simulator.schedules`, `coordination`, `dataplane.claims` and the registry rows of `daemons`.

Read in this order: `machine` (a node with its claim service), `callers` (send requests and count
runs), `run` (runs one seed).
"""
