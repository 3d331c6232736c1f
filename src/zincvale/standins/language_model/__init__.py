"""The language-model server: batching engine, memory, weight loading and HTTP.

Order to read: `kv_cache` and `engine` (no I/O; time is passed in), `residency` (memory accounting
of models and adapters, no I/O), `weight_puller` (client of the weight stores), `server` (combines
these and owns the timers), `stream_misbehaviour`, `http_handlers`.

May import the modules at the top of `zincvale.standins`, no other sub-package.
"""
