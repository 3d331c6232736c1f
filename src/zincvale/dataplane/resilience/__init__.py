"""Resilience of the native request path: what a node learns of servers from its own exchanges.

Owns the adaptive limits of concurrency and rate, the retry budget, passive outlier detection, slow
start and the measured throughput of a pool. All classes are pure: the time is passed in. They
import nothing of the project, except `exchange_evidence`: it updates the `ServerState` of
`dataplane.inference.routing_state`, which holds one object of each class.

Reading order: `outlier_detection`, `limits`, `throughput`, then `exchange_evidence`, which maps the
end of an exchange to all of them. Forwarding has its own retry budget and back-off
(`forwarding.fleet_budgets`, `forwarding.servers`); the reasons are given there.
"""
