"""Routing policies of the native request path: filters and scorers behind one interface.

Owns the public interface for third parties (`base`, see docs/write-a-policy.md), the built-in
policies and the chain of a pool. Policies read the tables of `dataplane.inference.routing_state`
and import `zincvale.model` and `dataplane.resilience`; they do no I/O.

Reading order: `base`, `filters`, `scorers`, `prefix_affinity`, `baselines` (to compare with), then
`registry`, which composes the chain of a pool and loads third-party classes by `module:Class`.
Forwarding has its own interface (`forwarding.policies`); the reason is given there.
"""
