"""The rules that a change of the intent must keep.

Each raises `InvalidInputError` with the resource, the field and a remedy; the reducer calls them in
a fixed order, so that one change always shows the same error. May import `controlplane.intent`,
`controlplane.addresses` and `model`.

Reading order: `fields` (rules on one resource), `references` (which fields name other resources),
`resources` (rules between resources).
"""
