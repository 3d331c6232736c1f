"""A simulation of forwarding: real data-plane services between simulated callers and servers.

Owns the journal of a simulation and the checks on it. Imports `dataplane.forwarding`, `model`,
`transport`, the null recorder of `tracing` and `simulator.virtual_loop`.

Read in this order: `journal` (records of callers and servers), `checks` (of the journal),
`servers` (how back ends fail), `model` (nodes, callers and faults of one seed).
"""
