"""A simulated cluster: the state machines of the daemons on virtual clocks, links and disks.

Owns virtual time, the faults and operations that a schedule names, and the invariants that are
checked after every input. Imports `coordination`, `model`, `storage`, the codec of `transport`, the
timing rules of `runtime`, and `schedules.schedule` for the steps. Uses no socket and no real clock.

Read in this order: `process` and `virtual_disk` (one machine), `network`, `simulation` (what
`runtime.driver` does, for many processes), `cluster` (members and their processes), `operators`
with `intent_log` and `history` (changes, and the check that they are linearizable),
`invariant_checker`, then `operations`, `faults` and `role_publisher`.
"""
