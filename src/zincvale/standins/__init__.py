"""Stand-ins for the environment of the daemons: back ends, stores, platform, callers, operators.

Each runs as its own process and journals what actually happened, so that a checker can compare it
with what the daemons report; none of them is part of a daemon. The package may import
`zincvale.model` and `zincvale.runtime.clock`; the fleet rig and the simulator import it, daemons
never do.

Order to read: `deployment` (the machines) and `settings` (one file for each process), `assemble`
(derives the settings), `main`, `programs` and `process` (command line, wiring and shutdown of a
process), `journal`, `json_body`; then the modules shared by the back ends, `generation`,
`behaviours` and `back_end`; then the sub-packages `language_model`, `lookup`, `weight_store`,
`platform`, `load` and `operators`.
"""
