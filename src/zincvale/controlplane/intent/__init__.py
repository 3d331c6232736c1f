"""The declared state of the fleet: zones, servers, pools, routes, stores, models and adapters.

Owns the replicated rows of the intent, the form of a change and the rules that a change must keep.
The reducer is what the register of the key `intent` calls for each change, on any core, so it is
pure: the same rows and change give the same result everywhere.

May import `model`, `controlplane.addresses` and `coordination.changes` (the reducer's interface);
nothing else of the product.

Reading order: `row_codec` (rows and typed tables), `change_body` (what operators send),
`merge_patch`, `proposed_rows` (rows as a change would leave them), `validation` (the rules),
`reducer` (all of it together).
"""
