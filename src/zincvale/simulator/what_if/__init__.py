"""What-if runs: a deployment's intent with and without a change, in virtual time.

Owns the virtual machines of a deployment and the figures of a run. The deciding code is the
daemons' own (`controlplane`, `dataplane`); engine, memory, stores and callers are those of
`standins`, and run options and fault files those of `fleet`. Only `commands` prints.

Read in this order: `clock` and `timings`, `machines` (the scenario and what is built from it),
`servers`, `engine`, `lookup` and `stores` (back ends), `claims`, `node`, `request` and `exchange`
(the data plane), `control_machine` and `intent`, `callers` and `attempt`, `faults` with
`fault_plan`, `run` (one run), `comparison` (two), `figures`, `report` and `plot`, then `inputs` and
`commands`. `node` builds requests and `request` builds exchanges; towards their owners they use the
protocols `RequestNode` and `ExchangeOwner`.
"""
