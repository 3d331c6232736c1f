"""A model of forwarding: the data plane's own services between model callers and model servers.

Owns the journal of a run and the checks on it. Imports `dataplane.forwarding`, `model`,
`transport`, the null recorder of `tracing` and `simulator.virtual_loop`.

Read in this order: `journal` (what callers and servers observed), `checks` (what must hold of it),
`servers` (how back ends fail), `model` (nodes, callers and faults of one seed).
"""
