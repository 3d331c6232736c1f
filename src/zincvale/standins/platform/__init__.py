"""The platform: publishes a lagging server list, polls nodes and hands out ready ones to callers.

Order to read: `state` (no I/O), `server` (polling and HTTP).

May import the modules at the top of `zincvale.standins`, no other sub-package.
"""
