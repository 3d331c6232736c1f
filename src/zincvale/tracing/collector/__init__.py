"""Tail sampling: collects the chunks of the traces that this member owns and decides them.

Owns undecided traces, backups and the cache of verdicts. Imports `recorder` for the limiter and
the span encoding, and the top-level modules of tracing.

Read in this order: `inputs` and `effects` (the interface), `policies` (the chain), `pending_trace`
(an undecided trace), `verdict_cache`, `backups`, `collector` (the state machine).
"""
