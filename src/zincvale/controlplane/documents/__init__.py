"""The forwarding document: routes, pools, limits on callers and evacuated zones.

Owns the document's rows in the control state, its changes and their reducer, the operators' calls
that read or change it, and the intent that is derived from it for placement. The format in which
operators write a document is defined by an `OperatorDialect` outside this package.

May import `model`, `controlplane.api.messages` (requests and effects) and `coordination`.

Reading order: `rows` (rows and typed document), `changes` (changes as sent to the owner), `reducer`
(checks and applies a change), `api` (operators' calls), `derived_intent` (pools with an engine as
declared resources).
"""
