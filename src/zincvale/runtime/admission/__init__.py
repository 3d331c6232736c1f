"""Admission: what a process accepts from its connections, bounded before it is read.

One `Admission` serves all HTTP listeners of a process. It holds a `MemoryBudget`, from which each
request reserves memory while its bytes arrive, and a `ConnectionTable`, which limits the open
connections. Both limits follow from the memory and the descriptors of the process.

Read `budget` and `connections` first, which decide, then `request_receiver`, which asks them for
each part of a request, and `server`, which accepts connections. `stream` counts the bytes of a
connection, `turns` shares the event loop among requests that arrive, and `lingering` lets a refused
client read its response.
"""
