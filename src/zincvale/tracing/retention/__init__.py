"""Retained traces in memory, and the replicas that survive the loss of one member.

Owns a trace from the verdict that retains it until its eviction or expiry. Imports `collector` for
its effects and policies, `recorder` for the span encoding, and the top-level modules of tracing.

Read in this order: `retained_trace` (one trace), `retained_store` (storage, budgets and searches),
`trace_replicator` (the state machine).
"""
