"""Derives the settings of every stand-in process from a deployment, for the fleet rig."""

from __future__ import annotations

from pathlib import Path

from zincvale.model.errors import InvalidInputError
from zincvale.model.resources import Document, PoolKind
from zincvale.standins.deployment import LOADS_FOLDER, BackEndServer, Deployment, StoreMachine
from zincvale.standins.settings import (
    CallersSettings,
    LanguageModelSettings,
    ListedServer,
    LookupSettings,
    OperatorsSettings,
    PlatformSettings,
    PolledNode,
    StoreSettings,
)

DEFAULT_MAX_CONCURRENT_LOADS = 4
PLATFORM_PROCESS = "platform"
OPERATORS_PROCESS = "operators"
OPERATORS_FILE = "operators.yaml"
SUMMARY_SUFFIX = "-summary.json"


def journal_path(journals: str | Path, process: str) -> str:
    """Return the path of the journal file of a process."""
    return str(Path(journals) / f"{process}.jsonl")


def language_model_settings(
    deployment: Deployment,
    server: BackEndServer,
    journals: str | Path,
    address_map: dict[str, str] | None = None,
    seed: int = 1,
) -> LanguageModelSettings:
    """Return the settings of one language-model server."""
    return LanguageModelSettings(
        server=server.name,
        pool=server.pool,
        zone=server.zone,
        address=deployment.server_address(server),
        journal=journal_path(journals, server.name),
        profile=deployment.language_model_profiles[server.pool],
        address_map=address_map or {},
        seed=seed,
    )


def lookup_settings(
    deployment: Deployment, server: BackEndServer, journals: str | Path, seed: int = 1
) -> LookupSettings:
    """Return the settings of one lookup server."""
    return LookupSettings(
        server=server.name,
        pool=server.pool,
        zone=server.zone,
        address=deployment.server_address(server),
        journal=journal_path(journals, server.name),
        profile=deployment.lookup_profiles[server.pool],
        seed=seed,
    )


def store_settings(
    deployment: Deployment,
    store: StoreMachine,
    documents: list[Document],
    journals: str | Path,
) -> StoreSettings:
    """Return the settings of one weight store, with the pull limit that the intent declares."""
    return StoreSettings(
        store=store.name,
        address=deployment.store_address(store),
        journal=journal_path(journals, store.name),
        bytes_per_second=store.bytes_per_second,
        max_concurrent_pulls=_max_concurrent_loads(store.name, documents),
    )


def platform_settings(
    deployment: Deployment,
    journals: str | Path,
    address_map: dict[str, str] | None = None,
) -> PlatformSettings:
    """Return the settings of the platform."""
    return PlatformSettings(
        address=deployment.platform_address(),
        journal=journal_path(journals, PLATFORM_PROCESS),
        servers=[listed_server(deployment, server) for server in deployment.servers],
        nodes=[
            PolledNode(machine.name, deployment.api_address(machine))
            for machine in deployment.nodes()
        ],
        list_lag_s=deployment.platform.list_lag_s,
        poll_interval_s=deployment.platform.poll_interval_s,
        unready_after_polls=deployment.platform.unready_after_polls,
        address_map=address_map or {},
    )


def callers_settings(
    deployment: Deployment,
    folder: str | Path,
    load: str,
    journals: str | Path,
    seconds: float,
    seed: int = 1,
    share: tuple[int, int] = (0, 1),
    address_map: dict[str, str] | None = None,
) -> CallersSettings:
    """Return the settings of a process that drives callers.

    Parameters
    ----------
    folder : the folder of the deployment.
    load : path of a load file, or the name of one in the `loads` subfolder.
    share : index of this process and number of processes among which the load is divided.
    """
    index, count = share
    process = f"callers-{index + 1}"
    return CallersSettings(
        deployment=str(folder),
        load=str(load_file(folder, load)),
        platform_address=deployment.platform_address(),
        journal=journal_path(journals, process),
        summary=str(Path(journals) / f"{process}{SUMMARY_SUFFIX}"),
        seconds=seconds,
        seed=seed,
        share_index=index,
        share_count=count,
        address_map=address_map or {},
    )


def load_file(folder: str | Path, load: str) -> Path:
    """Return the path of a load file, given as a name in the `loads` subfolder or as a path."""
    named = Path(folder) / LOADS_FOLDER / f"{load}.yaml"
    return named if named.exists() else Path(load)


def operators_settings(
    deployment: Deployment,
    folder: str | Path,
    journals: str | Path,
    script: str = "",
    seed: int = 1,
    address_map: dict[str, str] | None = None,
) -> OperatorsSettings:
    """Return the settings of the operators; an empty `script` selects the deployment's script."""
    return OperatorsSettings(
        script=script or str(Path(folder) / OPERATORS_FILE),
        cores=[deployment.api_address(machine) for machine in deployment.cores()],
        journal=journal_path(journals, OPERATORS_PROCESS),
        summary=str(Path(journals) / f"{OPERATORS_PROCESS}{SUMMARY_SUFFIX}"),
        seed=seed,
        address_map=address_map or {},
    )


def listed_server(deployment: Deployment, server: BackEndServer) -> ListedServer:
    """Return the row that describes a server in the platform's server list."""
    return ListedServer(
        server=server.name,
        address=deployment.server_address(server),
        pool=server.pool,
        zone=server.zone,
        kind=server.kind.value,
    )


def standin_command(server: BackEndServer) -> str:
    """Return the command of `zincvale.standins.main` that runs a back-end server."""
    if server.kind is PoolKind.LOOKUP:
        return "lookup"
    return "language_model"


def _max_concurrent_loads(store: str, documents: list[Document]) -> int:
    for document in documents:
        if document.kind == "Store" and document.name == store and document.spec:
            return int(document.spec.get("max_concurrent_loads", DEFAULT_MAX_CONCURRENT_LOADS))
    raise InvalidInputError(
        f"store {store} is not in the intent", "declare the store in intent.yaml"
    )
