"""Identifiers, resources, errors, messages and machine inputs that every plane uses.

It owns the vocabulary: types that more than one package names. It imports nothing of the
project, no event loop and no network (checked by `lint-imports`).

Read in this order: `identifiers` and `addresses`; `machine` (inputs and effects of every state
machine); `messages` and `log_events` (registries, each filled by the package that declares);
`errors`; `resources` and `forwarding` (what operators declare) with `checked` and `field_types`
(how it is read); `control_tables` (tables that control delivers to nodes); `outcomes` (what callers
are told).
"""
