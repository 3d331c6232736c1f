"""Tracing of requests and orders: head sampling, tail sampling, retention, and the trace API.

Owns spans from their start on a member until the retained trace expires at its collector; the
terms are those of docs/design-tracing.md. Imports `zincvale.model` only; other planes reach it
through the span interfaces that they declare themselves.

Read in this order: `config`, `chunks` (what is sent between members), `ownership` (who collects a
trace), `messages`, and then the packages along a trace's path: `recorder`, `sender`, `collector`,
`retention`; `service` runs their state machines in one daemon, `metrics` reads their statistics,
`api` responds to queries.
"""
