"""Retained traces in memory, and the replicas that survive the loss of one member.

Owns a trace from the verdict that retains it until its eviction or expiry. Imports `collector` for
its effects and policies, `recorder` for the span encoding, and the modules beside the packages.

Read in this order: `retained_trace` (a row), `retained_store` (budgets and searches),
`trace_replicator` (the state machine).
"""
