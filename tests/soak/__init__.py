"""A soak of real processes: daemons started as the platform starts them, under load and faults.

Read in this order: `layout` and `settings_file` (what is started), `machines` (processes and
signals), `servers` (the platform's list and its servers), `documents` (configurations),
`operator` and `callers` (load), `faults` (a seeded plan), `history` (what was seen), `checks`
(what must hold), `run` (one run; `python -m tests.soak.run --help`).
"""
