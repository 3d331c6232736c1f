"""The fleet rig: runs real processes under load and faults, and checks invariants from journals.

Owns the processes of one run on loopback addresses, the relays between them, the faults of a run,
its journals and its report. It imports `zincvale.model`, `zincvale.runtime` (settings) and
`zincvale.standins`; daemons never import it.

Read it in this order:

1. `commands`, `run_options`, `run_inputs`, `run`: the command line, and the phases of one run.
2. `processes`, `machines`, `daemon_settings`, `startup`: starting daemons and stand-ins.
3. `fault_kinds`, `fault_file`, `fault_targets`, `fault_plan`, `timeline`: from a file in `faults/`
   to timed steps with targets; no I/O except reading the file.
4. `injector`, `fault_context`, then `process_faults`, `network_faults`, `change_faults`,
   `back_end_faults`, `replacement`: what each step does to the running fleet.
5. `link_plan`, `network_state`, `relay_control`, then `relay_links`, `relay`, `relay_pump` and
   `relay_main` (a process of its own): how links are cut, delayed and slowed.
6. `observer`, `operators`, `rig_journal`: what the rig reads and changes, as journal rows.
7. `invariants` and `invariant_checker`, then `figures`, `report`, `page`, `plots`, `suite`.
"""
