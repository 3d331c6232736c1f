"""Benchmarks and the capacity model.

Owns the load clients, the measured processes and the figures of docs/CAPACITY.md. The
benchmarks report ratios between variants that are measured in one run. The package may import every
other package except the simulator; no daemon imports it.

Read it in this order:

1. `commands`: the benchmarks on the command line.
2. `http_load`, `stream_load`: the load clients, with latencies and gaps in microseconds.
3. `relay_process` (back ends, a minimal relay and a node), then `relay_bench`, which compares
   the two relays.
4. `hollow_process` (the control plane of many nodes in one process), `hollow_cluster` and
   `state_slopes`, then `capacity_run`, `capacity_model` and `capacity_page`, which turn the
   measured points into the page.
5. `tracing_fleet` (tracing services on a virtual clock), `tracing_bench`, then `tracing_node` and
   `tracing_cost`: the processor time of a node with and without tracing.

`relay_process`, `hollow_process`, `tracing_node` and `tracing_bench` are started by `python -m`.
"""
