"""Marks the replicas in the directory that planned moves are about to unload."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from zincvale.model.control_tables import Directory
from zincvale.model.identifiers import ServerId


def with_draining(directory: Directory, draining: Mapping[ServerId, frozenset[str]]) -> Directory:
    """Return `directory` with `ServerRow.closing` set to each server's names in `draining`."""
    if not draining:
        return directory
    servers = dict(directory.servers)
    for server, names in draining.items():
        row = servers.get(server)
        if row is not None:
            servers[server] = attrs.evolve(row, closing=names)
    return attrs.evolve(directory, servers=servers)
