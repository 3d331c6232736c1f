"""The platform: a server list that lags, readiness polls of nodes, hand-out of ready nodes.

Order to read: `state` (pure), `server` (polling and HTTP).

May import the modules at the top of `zincvale.standins`, no other sub-package.
"""
