"""Singleton roles for which cores are candidates."""

from __future__ import annotations

PLACEMENT_ROLE = "placement"
"""Publishes the server directory and plans moves: one role, so that the planner always has the
directory's newest observations, and one fencing epoch for both topics."""

CORE_ROLES = (PLACEMENT_ROLE,)
