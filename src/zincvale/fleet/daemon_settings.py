"""Settings files of the daemons, derived from a deployment."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

import yaml

from zincvale.fleet.run_folder import RunFolder
from zincvale.runtime.settings import DaemonSettings, InitialCore
from zincvale.standins.deployment import Deployment, Machine, MachineRole

SEED_COUNT = 3


def daemon_settings(
    deployment: Deployment,
    machine: Machine,
    folder: RunFolder,
    address_map: Mapping[str, str],
) -> DaemonSettings:
    """Return the settings of the daemon on one machine.

    A core's data folder and quota are in the run folder; `address_map` directs the daemon's
    connections through relays.
    """
    cores = deployment.cores()
    is_core = machine.role is MachineRole.CORE
    return DaemonSettings(
        cluster_id=deployment.cluster_id,
        member_id=machine.name,
        role=machine.role.value,
        zone=machine.zone,
        region=deployment.region,
        api_address=deployment.api_address(machine),
        peer_address=deployment.peer_address(machine),
        seeds=_seeds(deployment, machine),
        data_folder=str(folder.data(machine.name)) if is_core else "",
        bootstrap_cores=[_initial_core(deployment, core) for core in cores] if is_core else [],
        address_map=dict(address_map),
        platform_address=deployment.platform_address(),
        log_file=str(folder.logs / f"{machine.name}.eliot.jsonl"),
        disk_quota_file=str(folder.quota(machine.name)) if is_core else "",
    )


def write_settings(settings: DaemonSettings, path: Path) -> None:
    """Write settings as the YAML file that the daemon reads."""
    path.write_text(yaml.safe_dump(settings.to_dict(), sort_keys=False), encoding="utf-8")


def _seeds(deployment: Deployment, machine: Machine) -> list[str]:
    """Return the peer addresses of up to three other daemons, the current cores first."""
    others = [other for other in [*deployment.cores(), *deployment.nodes()] if other != machine]
    return [deployment.peer_address(other) for other in others[:SEED_COUNT]]


def _initial_core(deployment: Deployment, core: Machine) -> InitialCore:
    return InitialCore(
        member_id=core.name,
        api_address=deployment.api_address(core),
        peer_address=deployment.peer_address(core),
        zone=core.zone,
    )
