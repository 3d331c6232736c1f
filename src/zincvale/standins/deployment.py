"""Reads a deployment folder: its machines, its resource file and its load files.

A folder `deployments/NAME` holds

- `deployment.yaml`: the machines with their addresses, sizes and speeds (`Deployment`);
- `intent.yaml`: the resources that operators apply first (documents `kind`, `name`, `spec`);
- `loads/SHAPE.yaml`: the requests that callers send (`zincvale.standins.load.spec`).

Hosts are written as the last two numbers of a loopback address; `network` holds the first two, so
that a whole deployment can be moved to another loopback network (`moved_to`).
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import yaml

from zincvale.model.checked import Checked, read_checked
from zincvale.model.errors import InvalidInputError
from zincvale.model.resources import Document, PoolKind

DEPLOYMENT_FILE = "deployment.yaml"
INTENT_FILE = "intent.yaml"
LOADS_FOLDER = "loads"
LOOPBACK_PREFIX = "127."


class MachineRole(enum.Enum):
    """The daemon that a machine runs."""

    CORE = "core"
    NODE = "node"


@dataclass
class Machine(Checked):
    """A machine that runs a zincvale daemon; a core has a small disk."""

    name: str
    role: MachineRole
    zone: str
    host: str
    """Last two numbers of the machine's address, for example `1.11`."""
    api_port: int = 8080
    peer_port: int = 7400
    disk_bytes: int = 0


@dataclass
class LanguageModelProfile(Checked):
    """Capacity and speed of a language-model server; times are real (already scaled)."""

    memory_bytes: int
    pull_bytes_per_second: int
    """Bandwidth limit of the server's own network; the store may send more slowly."""
    prefill_tokens_per_second: float = 8000.0
    decode_s_per_token: float = 0.02
    batch_slowdown: float = 0.03
    """Fraction by which each further running request lengthens the time per token."""
    max_running: int = 16
    max_queued: int = 32
    kv_cache_bytes: int = 4_000_000_000
    """Part of the memory reserved for running requests and cached prefixes."""
    kv_block_tokens: int = 16
    kv_bytes_per_token: int = 131_072
    max_concurrent_loads: int = 2
    ramp_s: float = 4.0
    """Seconds over which a cold server ramps up to its full `max_running`."""


@dataclass
class LookupProfile(Checked):
    """Rate limit, service time and concurrency of a lookup server."""

    lookups_per_second: float = 4.5
    burst: int = 2
    service_s: float = 0.05
    max_running: int = 4


@dataclass
class BackEndServer(Checked):
    """A language-model or lookup server."""

    name: str
    kind: PoolKind
    pool: str
    zone: str
    host: str
    port: int = 9000


@dataclass
class StoreMachine(Checked):
    """A weight store."""

    name: str
    zone: str
    host: str
    port: int = 9100
    bytes_per_second: int = 20_000_000_000
    """Total bandwidth of the store, shared by all concurrent pulls."""


@dataclass
class PlatformMachine(Checked):
    """The platform, which publishes the server list and hands out ready nodes to callers."""

    zone: str
    host: str
    port: int = 9200
    list_lag_s: float = 3.0
    poll_interval_s: float = 0.5
    unready_after_polls: int = 2


@dataclass
class CallersMachine(Checked):
    """The machine of the callers and operators, which is in no zone."""

    host: str = "9.1"


@dataclass
class Deployment(Checked):
    """The machines, servers and stores of one deployment."""

    name: str
    network: str
    """First two numbers of every address, for example `127.21`."""
    cluster_id: str
    region: str
    zones: list[str]
    machines: list[Machine]
    servers: list[BackEndServer]
    stores: list[StoreMachine]
    platform: PlatformMachine
    language_model_profiles: dict[str, LanguageModelProfile]
    """Profiles of language-model servers, by pool name."""
    lookup_profiles: dict[str, LookupProfile]
    """Profiles of lookup servers, by pool name."""
    callers: CallersMachine = field(default_factory=CallersMachine)

    def ip(self, host: str) -> str:
        """Return the loopback address of a host, given its last two numbers."""
        return f"{self.network}.{host}"

    def api_address(self, machine: Machine) -> str:
        """Return the `ip:port` at which callers and operators reach a machine."""
        return f"{self.ip(machine.host)}:{machine.api_port}"

    def peer_address(self, machine: Machine) -> str:
        """Return the `ip:port` at which other daemons reach a machine."""
        return f"{self.ip(machine.host)}:{machine.peer_port}"

    def server_address(self, server: BackEndServer) -> str:
        """Return the `ip:port` of a back-end server."""
        return f"{self.ip(server.host)}:{server.port}"

    def store_address(self, store: StoreMachine) -> str:
        """Return the `ip:port` of a weight store."""
        return f"{self.ip(store.host)}:{store.port}"

    def platform_address(self) -> str:
        """Return the `ip:port` of the platform."""
        return f"{self.ip(self.platform.host)}:{self.platform.port}"

    def cores(self) -> list[Machine]:
        """Return the machines that run a core daemon."""
        return [machine for machine in self.machines if machine.role is MachineRole.CORE]

    def nodes(self) -> list[Machine]:
        """Return the machines that run a node daemon (data plane)."""
        return [machine for machine in self.machines if machine.role is MachineRole.NODE]

    def moved_to(self, network: str) -> Deployment:
        """Return the same deployment on another loopback network, for example `127.33`."""
        return replace(self, network=network)


def load_deployment(folder: str | Path) -> Deployment:
    """Return the checked deployment in `folder`.

    Raises
    ------
    InvalidInputError
        If the file is invalid; the error names the file, the field and the remedy.
    """
    path = Path(folder) / DEPLOYMENT_FILE
    deployment = read_checked(Deployment, read_yaml(path), str(path))
    _check_deployment(deployment, str(path))
    return deployment


def load_intent(folder: str | Path, deployment: Deployment) -> list[Document]:
    """Return the resources of `folder`, with stores given their addresses in the deployment."""
    documents = read_documents(Path(folder) / INTENT_FILE)
    address_by_store = {store.name: deployment.store_address(store) for store in deployment.stores}
    return [_with_store_address(document, address_by_store) for document in documents]


def read_documents(path: str | Path) -> list[Document]:
    """Return the resources of a file of YAML documents, each one resource or a list of them."""
    documents = []
    for index, data in enumerate(_flattened(read_yaml_documents(Path(path)))):
        documents.append(read_checked(Document, data, f"{path}, document {index + 1}"))
    return documents


def read_yaml(path: Path) -> Any:
    """Return the only YAML document of a file; raises `InvalidInputError`."""
    documents = read_yaml_documents(path)
    if len(documents) != 1:
        raise InvalidInputError(
            f"{path} contains {len(documents)} YAML documents", "write exactly one"
        )
    return documents[0]


def read_yaml_documents(path: Path) -> list[Any]:
    """Return every non-empty YAML document of a file; raises `InvalidInputError`."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise InvalidInputError(
            f"{path} cannot be read: {error.strerror}", "name a readable file"
        ) from error
    try:
        return [data for data in yaml.safe_load_all(text) if data is not None]
    except yaml.YAMLError as error:
        raise InvalidInputError(
            f"{path} is not valid YAML: {error}", "correct the syntax"
        ) from error


def _flattened(items: Iterable[Any]) -> list[Any]:
    flat: list[Any] = []
    for item in items:
        if isinstance(item, list):
            flat.extend(item)
        else:
            flat.append(item)
    return flat


def _with_store_address(document: Document, address_by_store: dict[str, str]) -> Document:
    if document.kind != "Store" or document.spec is None:
        return document
    address = address_by_store.get(document.name)
    if address is None:
        return document
    return replace(document, spec={**document.spec, "address": address})


def _check_deployment(deployment: Deployment, where: str) -> None:
    if not deployment.network.startswith(LOOPBACK_PREFIX):
        raise InvalidInputError(
            f"{where}: network {deployment.network!r} is not a loopback network",
            "write two numbers that begin with 127, for example `127.21`",
        )
    _check_zones(deployment, where)
    _check_unique_endpoints(deployment, where)
    _check_profiles(deployment, where)


def _check_zones(deployment: Deployment, where: str) -> None:
    zoned: list[Machine | BackEndServer | StoreMachine] = [
        *deployment.machines,
        *deployment.servers,
        *deployment.stores,
    ]
    for item in zoned:
        if item.zone not in deployment.zones:
            raise InvalidInputError(
                f"{where}: {item.name} is in unknown zone {item.zone!r}",
                f"use one of {', '.join(deployment.zones)}",
            )
    names = [item.name for item in zoned]
    for name in names:
        if names.count(name) > 1:
            raise InvalidInputError(f"{where}: {name!r} is used twice", "give each a unique name")


def _check_unique_endpoints(deployment: Deployment, where: str) -> None:
    endpoints = [
        *(deployment.api_address(machine) for machine in deployment.machines),
        *(deployment.peer_address(machine) for machine in deployment.machines),
        *(deployment.server_address(server) for server in deployment.servers),
        *(deployment.store_address(store) for store in deployment.stores),
        deployment.platform_address(),
    ]
    for endpoint in endpoints:
        if endpoints.count(endpoint) > 1:
            raise InvalidInputError(
                f"{where}: {endpoint} is used twice", "give each a unique address"
            )


def _check_profiles(deployment: Deployment, where: str) -> None:
    for server in deployment.servers:
        if server.kind is PoolKind.LOOKUP:
            has_profile = server.pool in deployment.lookup_profiles
        else:
            has_profile = server.pool in deployment.language_model_profiles
        if not has_profile:
            raise InvalidInputError(
                f"{where}: pool {server.pool!r} of {server.name} has no profile",
                "add a profile under lookup_profiles or language_model_profiles",
            )
