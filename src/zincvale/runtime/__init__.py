"""Runtime of every daemon: event loop driver, settings, clocks, listening sockets and logs.

It owns the daemons' clocks and settings and the destination of logs. It may import `model` and, for
the interface of peers, `transport`.

Read in this order: `driver` (feeds one state machine and executes its effects), `peer_router`
(passes messages of peers to services or to the machine), `listening`, `settings` and
`forwarding_settings`, `clock`, `incarnation`, `logs` with `log_events`.
"""
