"""The lookup server: a rate limit in front of a key-value lookup.

Order to read: `rate_limiter` (pure), `server` (state and HTTP).

May import the modules at the top of `zincvale.standins`, no other sub-package.
"""
