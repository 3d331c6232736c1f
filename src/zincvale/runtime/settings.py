"""Settings of a daemon: one checked YAML file, with flags over it."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from zincvale.model.checked import Checked, read_checked
from zincvale.model.errors import InvalidInputError

HIGHEST_PORT = 65_535


@dataclass
class InitialCore(Checked):
    """One of the cores that a cluster is created with."""

    member_id: str
    api_address: str
    peer_address: str
    zone: str


@dataclass
class DaemonSettings(Checked):
    """What a daemon is told of its place; everything else it learns from the cluster."""

    cluster_id: str
    member_id: str
    role: str
    """`core` or `node`."""
    zone: str
    api_address: str
    """`ip:port` for callers and operators."""
    peer_address: str
    """`ip:port` for other daemons."""
    region: str = "region-1"
    seeds: list[str] = field(default_factory=list)
    """Peer addresses of other daemons, for first contact only."""
    data_folder: str = ""
    """Where a core keeps its files; they outlive a restart only once synced."""
    bootstrap_cores: list[InitialCore] = field(default_factory=list)
    address_map: dict[str, str] = field(default_factory=dict)
    """Advertised address to the address that is dialled instead."""
    platform_address: str = ""
    log_file: str = ""
    """Where structured logs go; empty means standard error."""
    disk_quota_file: str = ""
    """A file with the number of bytes the data folder may still take; empty means no quota."""


def load_settings(path: str, overrides: dict[str, Any] | None = None) -> DaemonSettings:
    """Return the settings in the YAML file `path`, with `overrides` over it.

    Raises
    ------
    InvalidInputError
        Naming the file, the field and the remedy.
    """
    data = _read_yaml(path) if path else {}
    if not isinstance(data, dict):
        raise InvalidInputError(
            f"settings file {path} is not a mapping", "write `field: value` lines"
        )
    data.update(overrides or {})
    settings = read_checked(DaemonSettings, data, f"settings {path or 'from flags'}")
    _check(settings)
    return settings


def _read_yaml(path: str) -> Any:
    # Imported here: settings may come from elsewhere.
    import yaml

    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise InvalidInputError(
            f"settings file {path} cannot be read: {error.strerror}", "name a readable file"
        ) from error
    try:
        return yaml.safe_load(text) or {}
    except yaml.YAMLError as error:
        raise InvalidInputError(
            f"settings file {path} is not YAML: {error}", "correct it"
        ) from error


def _check(settings: DaemonSettings) -> None:
    if settings.role not in ("core", "node"):
        raise InvalidInputError(f"role is {settings.role!r}", "write `core` or `node`")
    if settings.role == "core" and not settings.data_folder:
        raise InvalidInputError("a core has no data_folder", "name a folder on a disk of its own")
    for name in ("api_address", "peer_address"):
        check_address(getattr(settings, name), name)
    for seed in settings.seeds:
        check_address(seed, "seeds")


def check_address(address: str, field_name: str) -> None:
    """Raise `InvalidInputError` unless `address` is an IP number with a port."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError as error:
        raise InvalidInputError(
            f"{field_name}: {address!r} is not `ip:port`", "write an IP number, not a host name"
        ) from error
    if not 0 < number <= HIGHEST_PORT:
        raise InvalidInputError(f"{field_name}: port {number} is out of range", "use 1 to 65535")
