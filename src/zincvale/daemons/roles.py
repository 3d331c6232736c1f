"""Singleton roles for which cores are candidates."""

from __future__ import annotations

PLACEMENT_ROLE = "placement"
"""Role whose leader publishes the server directory and plans moves. It is one role so that the
planner always has the directory's newest observations, and one fencing epoch applies to both
topics."""

CORE_ROLES = (PLACEMENT_ROLE,)
