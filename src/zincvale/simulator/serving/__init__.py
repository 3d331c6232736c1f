"""A simulated day of a pool: real placement controllers before simulated servers and callers.

Owns the days of demand that shifts between models and adapters, with changes of the placement
leader, and the check that whatever is requested again and again is served. Imports
`controlplane.placement`, `controlplane.documents`, the demand table and the queue of pending
requests of `dataplane`, the tunables of `daemons`, `model` and `simulator.virtual_loop`.

Read in this order: `shapes` (sizes and rates), `arrivals` (who asks for what), `engines` (servers
that execute one order at a time), `nodes` (requests that wait, are refused and are retried),
`cores` (controllers under a lease), `day` (runs one seed), `outcome` (what was served).
"""
