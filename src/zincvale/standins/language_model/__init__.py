"""The language-model server: batching engine, memory, loads of weights, HTTP.

Order to read: `kv_cache` and `engine` (pure; time is passed in), `residency` (pure memory
accounting of models and adapters), `weight_puller` (client of the weight stores), `server` (state
and timers around these), `stream_misbehaviour`, `http_handlers`.

May import the modules at the top of `zincvale.standins`, no other sub-package.
"""
