"""Settings of each stand-in process: one checked YAML file each."""

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
    """A model that a server holds from its start."""

    name: str
    size_bytes: int
    adapters: dict[str, int] = field(default_factory=dict)
    """Adapter name to its bytes."""


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
    """Advertised address to the address that is dialled instead (stores)."""
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
    """What the operators allow; a pull beyond it is refused and journalled."""


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
    """A load file."""
    platform_address: str
    journal: str
    summary: str
    """Where the summary JSON goes at the end."""
    seconds: float
    """How long new requests arrive."""
    seed: int = 1
    share_index: int = 0
    share_count: int = 1
    """This process drives the requests whose number is `share_index` modulo `share_count`."""
    rate_factor: float = 1.0
    address_map: dict[str, str] = field(default_factory=dict)


@dataclass
class OperatorsSettings(Checked):
    """Settings of the operators."""

    script: str
    """A file of timed changes."""
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
    """Write settings as YAML, for the process that reads them."""
    Path(path).write_text(yaml.safe_dump(settings.to_dict(), sort_keys=False), encoding="utf-8")


def loopback_endpoint(address: str) -> tuple[str, int]:
    """Return host and port of a loopback `ip:port`; raises `InvalidInputError` for any other."""
    host, _, port = address.rpartition(":")
    try:
        is_loopback = ipaddress.ip_address(host).is_loopback
        number = int(port)
    except ValueError as error:
        raise InvalidInputError(
            f"address {address!r} is not `ip:port`", "write an IP number and a port"
        ) from error
    if not is_loopback:
        raise InvalidInputError(
            f"address {address!r} is not a loopback address", "use an address in 127.0.0.0/8"
        )
    return host, number


def dialled_address(address: str, address_map: dict[str, str]) -> str:
    """Return where `address` is really dialled; raises `InvalidInputError` when not loopback."""
    target = address_map.get(address, address)
    loopback_endpoint(target)
    return target
