"""A soak of real processes: daemons started as the platform starts them, under load and faults.

Read in this order: `layout` and `settings_file` (what is started), `machines` (processes and
signals), `servers` (the platform's list and its servers), `documents` (configurations),
`operator`, `evacuations` and `callers` (load), `faults` (a seeded plan), `history` (what was seen),
`in_touch`, `checks` and `evacuation_checks` (what must hold), `soak_run` (one run), `run` (the
command; `python -m tests.soak.run --help`).
"""
