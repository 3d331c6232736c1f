"""Operators' commands: apply, get, describe, watch, drain, evacuate.

Owns the command line of operators, from its words to the requests at a core and the text that is
printed. Imports `model` and the control plane's names of resources; no daemon, no state.

Read in this order: `runner` (checks one command line and calls it), `commands` (one method a
command), `session` (requests to a changing set of cores), `changes` and `reads` (what is sent and
asked), `files` (resource files), `output` (tables, JSON and YAML), `errors` (exit codes).
"""
