"""The forwarding document: routes, pools, limits of callers and evacuated zones.

Owns the document's rows in the control state, its changes and their reducer, the operators' calls
about it, and the intent that placement derives from it. How operators write a document is the
business of an `OperatorDialect` outside this package.

May import `model`, `controlplane.api.messages` (requests and effects) and `coordination`.

Reading order: `rows` (rows and typed document), `changes` (what travels to the owner), `reducer`
(checks and applies a change), `api` (operators' calls), `derived_intent` (pools with an engine as
declared resources).
"""
