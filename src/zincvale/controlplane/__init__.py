"""The control plane: what operators declare, what is observed, and what is placed where.

Every module is pure: state machines, reducers and codecs without I/O, clock or global randomness,
run by the daemons, by the simulator and by transcript tests alike. The packages may import each
other, `model` and `coordination`; never the data plane, the runtime or the daemons.

Packages, in reading order: `intent` (declared resources and the rules of a change), `documents`
(the same for the forwarding mode), `directory` (observed servers), `status` (conditions of
resources), `api` (the operators' HTTP API) and `placement` (moves of models between servers).
`core_view` declares what `status` and `api` read from the core they run in, `addresses` checks
`ip:port` addresses, `log_events` declares the log events of every package except `placement`.
"""
