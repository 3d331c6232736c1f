"""Deliberate mistakes in the daemons' machines, to prove that the invariant checks can fail.

Owns the list of mutations. Imports what it patches: `coordination`, `model` and `storage`; besides
them `simulator.schedules` to run. Attribute names in `mock.patch.object` follow those modules.

Read in this order: `registry` (a mutation), `leases` and `registers` (the mistakes), `mutations`
(which schedule detects one).
"""
