"""Commands for operators: apply, get, describe, watch, drain, evacuate.

Owns the parsing of their command lines, the requests to cores and the printed output. Imports only
`model` and the control plane's resource kinds; imports no daemon and stores no state.

Read in this order: `runner` (checks a command line and runs its command), `commands` (one method
per command), `session` (requests to a changing set of cores), `changes` and `reads` (the requests
of each command), `files` (resource files), `output` (tables, JSON and YAML), `errors` (exit codes).
"""
