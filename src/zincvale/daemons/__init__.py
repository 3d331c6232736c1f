"""Daemon processes: assembles the planes' libraries into core, node and standby daemons.

It owns the running parts: construction order, ticks, signals and drains, HTTP connections to
servers, and the runners that execute the effects of the planes' state machines. Decisions are made
in the planes. It may import every package but `cli`, `platform` and the rigs (`simulator`,
`standins`, `fleet`, `bench`).

Read in this order:

1. `process`: what every daemon shares (peers, driver, signals, drain); `standby_daemon`, the
   smallest daemon.
2. `core_assembly`, then `core_daemon` (native) and `forwarding_core` (forwarding by documents);
   `core_view` and `control_api_handler` are the operators' side.
3. `placement_runner` with `placement_leadership`, `leadership_guard`, `topic_publisher`,
   `server_orders`, `order_durations`, `order_spans` and `http_fetch`: how orders leave a
   leader core.
4. `directory_runner` (native) and `discovery_runner` (forwarding): how servers are observed;
   `unreachable_servers`, `residency_publisher`, `residency_row_codec`, `draining_replicas`.
5. `node_assembly`, then `node_daemon` (native) and `forwarding_node` (forwarding by documents).

`forwarding_placement` and `forwarding_timings` hold the tunables of a forwarding deployment,
`forwarding_dialects` the interfaces of the message formats that it must be given.
"""
