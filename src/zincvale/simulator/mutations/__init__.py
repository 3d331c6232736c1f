"""Mutations: deliberate defects in the daemons' machines that prove that the checks can fail.

Owns the list of mutations. Imports the modules that it patches (`coordination`, `model` and
`storage`) and `simulator.schedules`, whose schedules it runs. The attribute names in
`mock.patch.object` are those of the patched modules.

Read in this order: `registry` (the definition of a mutation), `leases` and `registers` (the
mutations), `mutations` (which schedule detects a mutation).
"""
