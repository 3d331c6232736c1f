"""Identifiers, resources, errors, messages and state-machine inputs that every plane uses.

It owns the types that more than one package uses. It imports no other package of the project, no
event loop and no networking (checked by `lint-imports`).

Read in this order: `identifiers` and `addresses`; `machine` (inputs and effects of every state
machine); `messages` and `log_events` (registries that the declaring packages fill);
`errors`; `resources` and `forwarding` (what operators declare) with `checked` and `field_types`
(how declarations are read and validated); `control_tables` (tables that the control plane delivers
to nodes); `outcomes` (the results that callers get).
"""
