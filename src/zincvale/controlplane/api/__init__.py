"""The operators' HTTP API at one core, as a pure state machine.

Owns the paths, the parameters, the response bodies and the pending requests (changes that wait for
the core's result, watches that wait for a newer intent). It decides nothing about the control
state: changes go to the local core as proposals, reads return what `CoreView` provides.

May import `controlplane.core_view`, `intent`, `status` and `placement` (the codec of moves),
`coordination` and `model`; never the runtime, a clock or an HTTP library. The core daemon passes
inputs to it and executes its effects. The paths are documented in docs/PROTOCOLS.md.

Reading order: `messages` (requests, effects, error responses), `dispatch` (the state machine),
`reads` (response bodies), `intent_changes` and `replica_changes` (changes), `pending_watches` (long
polls).
"""
