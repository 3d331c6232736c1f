"""Spans of one member, and the head sampling decision.

Owns the open traces of this member until their ended spans leave as chunks. Imports `chunks`,
`config` and `messages` of tracing, none of its other packages.

Read in this order: `context` (what children inherit), `limiter` (the adaptive sampling rate),
`spans` (finished spans and their encoding), `open_trace` (the part that every request pays for),
`recorder` (the state behind it), `no_spans` (the null recorder).
"""
