"""The intent: declared zones, servers, pools, routes, stores, models and adapters.

Owns the replicated rows of the intent, the format of a change and the rules that a change must
keep. The register of the key `intent` calls the reducer for each change, on any core, so the
reducer is pure: the same rows and change give the same result everywhere.

May import only `model`, `controlplane.addresses` and `coordination.changes` (the interface of the
reducer).

Reading order: `row_codec` (rows and typed tables), `change_body` (what operators send),
`merge_patch`, `proposed_rows` (the rows as they would be after a change), `validation` (the rules),
`reducer` (which combines them).
"""
