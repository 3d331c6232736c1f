"""Runs placement policies against an emulated fleet in virtual time.

The package owns the emulated servers, stores and callers, the baseline policies and the checks of
a run's journal. It may import `zincvale.controlplane.placement` and `zincvale.model`. Randomness is
seeded and time advances in fixed steps, so that equal seeds give equal runs.

Reading order: `fleet` (servers, stores, orders), `scenarios` (shapes of fleets and of demand),
`emulator` (runs one policy through one scenario), `controller_policy` (the real controller as a
policy), `baselines` (policies to compare with), `journal_checks` (limits that every policy must
keep).
The command lines are `zincvale.simulator.placement_quality` and `placement_scale`.
"""
