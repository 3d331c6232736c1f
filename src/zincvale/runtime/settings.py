"""Settings of a daemon: a validated YAML file, whose fields command-line flags may override."""

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
    """One of the cores with which a cluster is created."""

    member_id: str
    api_address: str
    peer_address: str
    zone: str


@dataclass
class DaemonSettings(Checked):
    """What a daemon must know to join the cluster; it learns everything else from the cluster."""

    cluster_id: str
    member_id: str
    role: str
    """Role of the daemon: `core` or `node`."""
    zone: str
    api_address: str
    """`ip:port` on which the daemon serves callers or operators."""
    peer_address: str
    """`ip:port` on which the daemon serves other daemons."""
    region: str = "region-1"
    seeds: list[str] = field(default_factory=list)
    """Peer addresses of other daemons, used only for first contact."""
    data_folder: str = ""
    """Folder in which a core stores its files; unsynced files may not survive a restart."""
    bootstrap_cores: list[InitialCore] = field(default_factory=list)
    address_map: dict[str, str] = field(default_factory=dict)
    """Maps an advertised address to the address to which connections are made instead."""
    platform_address: str = ""
    log_file: str = ""
    """File to which structured logs are written; empty means standard error."""
    disk_quota_file: str = ""
    """File with the number of bytes by which the data folder may still grow; empty means no
    quota."""
    memory_limit_mb: int = 0
    """Memory that the process may use; 0 means that of the machine."""
    descriptor_limit: int = 0
    """Number of descriptors that the process may use; 0 means what its shell allows."""


def load_settings(path: str, overrides: dict[str, Any] | None = None) -> DaemonSettings:
    """Return the settings in the YAML file `path`, in which `overrides` replace fields.

    Raises
    ------
    InvalidInputError
        If the settings are invalid; names the file, the field and the remedy.
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
    # Imported here, since a daemon whose settings come from elsewhere needs no YAML parser.
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
            f"settings file {path} is not YAML: {error}", "correct the file"
        ) from error


def _check(settings: DaemonSettings) -> None:
    if settings.role not in ("core", "node"):
        raise InvalidInputError(f"role is {settings.role!r}", "write `core` or `node`")
    if settings.role == "core" and not settings.data_folder:
        raise InvalidInputError(
            "a core has no data_folder", "name a folder on a disk that only this core uses"
        )
    for name in ("api_address", "peer_address"):
        check_address(getattr(settings, name), name)
    for seed in settings.seeds:
        check_address(seed, "seeds")


def check_address(address: str, field_name: str) -> None:
    """Raise `InvalidInputError` unless `address` is an IP address with a port."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError as error:
        raise InvalidInputError(
            f"{field_name}: {address!r} is not `ip:port`", "write an IP address, not a host name"
        ) from error
    if not 0 < number <= HIGHEST_PORT:
        raise InvalidInputError(f"{field_name}: port {number} is out of range", "use 1 to 65535")
