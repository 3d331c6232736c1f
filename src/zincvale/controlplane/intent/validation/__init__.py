"""The rules that a change of the intent must keep.

Each check raises `InvalidInputError` with the resource, the field and a remedy. The reducer calls
the checks in a fixed order, so that a change always gets the same error. May import
`controlplane.intent`, `controlplane.addresses` and `model`.

Reading order: `fields` (rules on one resource), `references` (which fields name other resources),
`resources` (rules between resources).
"""
