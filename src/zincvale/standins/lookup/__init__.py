"""The lookup server: a rate limit in front of a key-value lookup.

Order to read: `rate_limiter` (no I/O), `server` (state and HTTP).

May import the modules at the top of `zincvale.standins`, no other sub-package.
"""
