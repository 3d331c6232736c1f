"""Benchmarks, as ratios within one run, and the capacity model.

Owns the load clients, the processes that are measured, and the figures of docs/CAPACITY.md. It may
import every other package but the simulator; no daemon imports it.

Read it in this order:

1. `commands`: what can be measured.
2. `http_load`, `stream_load`: the load clients, with latencies and gaps in microseconds.
3. `relay_process` (back ends, a bare relay and a node), then `relay_bench`, which compares them.
4. `hollow_process` (many nodes' control plane in one process), `hollow_cluster`, `state_slopes`,
   then `capacity_run`, `capacity_model` and `capacity_page`: from measured points to the page.
5. `tracing_fleet` (tracing services on a virtual clock), `tracing_bench`, then `tracing_node` and
   `tracing_cost`: a node's processor time with and without traces.

`relay_process`, `hollow_process`, `tracing_node` and `tracing_bench` are started by `python -m`.
"""
