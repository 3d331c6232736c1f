"""What-if runs: a deployment's intent with and without a change, in virtual time.

Owns the simulated machines of a deployment and the figures of a run. Every decision is made by the
daemons' own code (`controlplane`, `dataplane`). The models of engine, memory, stores and callers
come from `standins`, run options and fault files from `fleet`. Only `commands` prints.

Reading order: `clock` and `timings`, `machines` (the scenario and what is built from it),
`servers`, `engine`, `lookup` and `stores` (back ends), `claims`, `node`, `request` and `exchange`
(the data plane), `control_machine` and `intent`, `callers` and `attempt`, `faults` with
`fault_plan`, `run` (one run), `comparison` (two), `figures`, `report` and `plot`, then `inputs` and
`commands`. `node` builds requests and `request` builds exchanges; a request calls its node through
the protocol `RequestNode`, an exchange its request through `ExchangeOwner`.
"""
