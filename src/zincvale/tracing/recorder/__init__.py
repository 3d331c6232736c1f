"""Spans of one member, and the head sampling decision.

Owns the open traces of this member until their ended spans leave as chunks. Imports `chunks`,
`config` and `messages` of tracing, none of its other packages.

Read in this order: `context` (what child spans inherit), `limiter` (the adaptive sampling rate),
`spans` (finished spans and their encoding), `open_trace` (open traces and spans, on the path of
every request), `recorder` (creates spans and sends chunks), `no_spans` (a recorder that does
nothing).
"""
