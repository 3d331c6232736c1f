"""Settings of the stand-in processes; each process reads one checked YAML file."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass, field
from pathlib import Path
from typing import TypeVar

import yaml

from zincvale.model.checked import Checked, read_checked
from zincvale.model.errors import InvalidInputError
from zincvale.standins.behaviours import Behaviour
from zincvale.standins.deployment import LanguageModelProfile, LookupProfile, read_yaml


@dataclass
class ResidentModel(Checked):
    """A model that is loaded when the server starts."""

    name: str
    size_bytes: int
    adapters: dict[str, int] = field(default_factory=dict)
    """Size in bytes of each loaded adapter, by adapter name."""


@dataclass
class LanguageModelSettings(Checked):
    """Settings of one language-model server."""

    server: str
    pool: str
    zone: str
    address: str
    journal: str
    profile: LanguageModelProfile
    address_map: dict[str, str] = field(default_factory=dict)
    """Addresses to dial in place of the advertised addresses of stores, by advertised address."""
    resident: list[ResidentModel] = field(default_factory=list)
    behaviours: list[Behaviour] = field(default_factory=list)
    seed: int = 1


@dataclass
class LookupSettings(Checked):
    """Settings of one lookup server."""

    server: str
    pool: str
    zone: str
    address: str
    journal: str
    profile: LookupProfile
    behaviours: list[Behaviour] = field(default_factory=list)
    seed: int = 1


@dataclass
class StoreSettings(Checked):
    """Settings of one weight store."""

    store: str
    address: str
    journal: str
    bytes_per_second: int
    max_concurrent_pulls: int = 4
    """Limit that the operators declare; a pull beyond it is refused and journalled."""


@dataclass
class ListedServer(Checked):
    """One row of the platform's server list."""

    server: str
    address: str
    pool: str
    zone: str
    kind: str
    """`language-model` or `lookup`."""


@dataclass
class PolledNode(Checked):
    """One node that the platform polls."""

    node: str
    address: str


@dataclass
class PlatformSettings(Checked):
    """Settings of the platform."""

    address: str
    journal: str
    servers: list[ListedServer]
    nodes: list[PolledNode]
    list_lag_s: float = 3.0
    poll_interval_s: float = 0.5
    unready_after_polls: int = 2
    address_map: dict[str, str] = field(default_factory=dict)


@dataclass
class CallersSettings(Checked):
    """Settings of a process that drives callers."""

    deployment: str
    """Folder with `deployment.yaml` and `intent.yaml`."""
    load: str
    """Path of the load file."""
    platform_address: str
    journal: str
    summary: str
    """Path of the JSON summary that is written at the end."""
    seconds: float
    """Length of the interval in which new requests are sent."""
    seed: int = 1
    share_index: int = 0
    share_count: int = 1
    """The process sends the arrivals whose position is `share_index` modulo `share_count`."""
    rate_factor: float = 1.0
    address_map: dict[str, str] = field(default_factory=dict)


@dataclass
class OperatorsSettings(Checked):
    """Settings of the operators."""

    script: str
    """Path of the file of timed changes."""
    cores: list[str]
    """API addresses of the cores."""
    journal: str
    summary: str
    seed: int = 1
    address_map: dict[str, str] = field(default_factory=dict)


SettingsType = TypeVar("SettingsType", bound=Checked)


def load_settings(kind: type[SettingsType], path: str) -> SettingsType:
    """Return the checked settings in the YAML file `path`; raises `InvalidInputError`."""
    return read_checked(kind, read_yaml(Path(path)), f"settings {path}")


def save_settings(settings: Checked, path: str | Path) -> None:
    """Write settings to a YAML file that `load_settings` can read."""
    Path(path).write_text(yaml.safe_dump(settings.to_dict(), sort_keys=False), encoding="utf-8")


def loopback_endpoint(address: str) -> tuple[str, int]:
    """Return host and port of an `ip:port`; raises `InvalidInputError` unless it is loopback."""
    host, _, port = address.rpartition(":")
    try:
        is_loopback = ipaddress.ip_address(host).is_loopback
        number = int(port)
    except ValueError as error:
        raise InvalidInputError(
            f"address {address!r} is not `ip:port`", "write an IP address and a port"
        ) from error
    if not is_loopback:
        raise InvalidInputError(
            f"address {address!r} is not a loopback address", "use an address in 127.0.0.0/8"
        )
    return host, number


def dialled_address(address: str, address_map: dict[str, str]) -> str:
    """Return the address to dial for `address`; raises `InvalidInputError` if not loopback."""
    target = address_map.get(address, address)
    loopback_endpoint(target)
    return target
