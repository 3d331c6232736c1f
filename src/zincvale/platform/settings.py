"""Converts the platform's settings file to the settings of a daemon."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Any

import attrs

from zincvale.model.errors import InvalidInputError
from zincvale.runtime.forwarding_settings import ForwardingSettings
from zincvale.runtime.settings import DaemonSettings, InitialCore

SETTINGS_VARIABLE = "ZINCVALE_CONFIG"
CLUSTER_ID = "platform"
NODE_PORT, CORE_PORT = 0, 1
"""Offset of each role's peer port from the first internal port."""
MS_PER_S = 1000.0


@attrs.frozen
class ProcessSettings:
    """All settings of one daemon process."""

    daemon: DaemonSettings
    forwarding: ForwardingSettings
    bootstrap: bool
    modified_at: int = 0
    """Modification time of the file, in nanoseconds; taken before the file was read."""


def settings_path() -> str:
    """Return the path of the settings file, empty when the environment names none."""
    return os.environ.get(SETTINGS_VARIABLE, "")


def settings_modified_at() -> int:
    """Return the modification time of the settings file in nanoseconds; 0 if there is none."""
    try:
        return os.stat(settings_path()).st_mtime_ns
    except OSError:
        return 0


def load_process_settings(role: str) -> ProcessSettings:
    """Return the settings of this process; raises `InvalidInputError`."""
    path = settings_path()
    modified_at = settings_modified_at()
    try:
        decoded = tomllib.loads(Path(path).read_text(encoding="utf-8"))
        return attrs.evolve(process_settings(decoded, role), modified_at=modified_at)
    except OSError as error:
        raise InvalidInputError(
            f"settings file {path!r} cannot be read: {error.strerror}",
            f"name a readable file in {SETTINGS_VARIABLE}",
        ) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise InvalidInputError(
            f"settings file {path!r} is not TOML: {error}", "write the complete file"
        ) from error
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise InvalidInputError(
            f"settings file {path!r} has a missing or invalid field: {error!r}", "correct the field"
        ) from error


def process_settings(decoded: dict[str, Any], role: str) -> ProcessSettings:
    """Return the settings of `role` in a decoded file; unknown fields are ignored."""
    ports = decoded["internalPorts"]
    ip = decoded["ip"]
    seeds = [_host(seed) for seed in decoded.get("seeds", [])]
    bootstrap = bool(decoded.get("bootstrap", False))
    listen = decoded.get("listen", {})
    limits = decoded.get("limits", {})
    is_core = role == "core"
    daemon = DaemonSettings(
        cluster_id=CLUSTER_ID,
        member_id=f"{role}-{ip}",
        role=role,
        zone=decoded["zone"],
        region=decoded.get("region", ""),
        api_address=listen["control"] if is_core else listen["front"],
        peer_address=f"{ip}:{ports[0] + (CORE_PORT if is_core else NODE_PORT)}",
        seeds=[f"{seed}:{ports[0] + CORE_PORT}" for seed in seeds],
        data_folder=decoded.get("dataDirectory", ""),
        bootstrap_cores=[_initial_core(seed, ports[0]) for seed in seeds] if bootstrap else [],
        memory_limit_mb=int(limits.get("memoryMb", 0)),
        descriptor_limit=int(limits.get("fileDescriptors", 0)),
    )
    return ProcessSettings(daemon, _forwarding(decoded), bootstrap)


def _initial_core(ip: str, first_port: int) -> InitialCore:
    address = f"{ip}:{first_port + CORE_PORT}"
    return InitialCore(member_id=f"core-{ip}", api_address=address, peer_address=address, zone="")


def _forwarding(decoded: dict[str, Any]) -> ForwardingSettings:
    bounds = decoded.get("bounds", {})
    cloud = decoded.get("cloud", {})
    return ForwardingSettings(
        readiness_address=decoded.get("listen", {}).get("readiness", ""),
        ready_path="/v1/ready",
        list_address=cloud.get("address", ""),
        list_lag_s=cloud.get("lagMs", 1000) / MS_PER_S,
        retry_ratio=bounds.get("retryBudgetRatio", 0.2),
        retry_slack=bounds.get("budgetSlack", 20),
        retry_window_s=bounds.get("budgetWindowS", 10),
        cold_factor=bounds.get("coldOver", 1.0),
        cold_slack=bounds.get("coldSlack", 0),
        store_window_s=bounds.get("ceilingWindowS", 5),
        store_over=bounds.get("ceilingOver", 1.0),
        order_quiet_s=bounds.get("leaseMs", 3000) / MS_PER_S,
        grace_s=bounds.get("graceS", 8),
        change_limit_s=bounds.get("acknowledgeMs", 4000) / MS_PER_S,
        catch_up_s=bounds.get("catchUpS", 4),
        cores_lost_at_once=max(1, decoded.get("faultTolerance", {}).get("machines", 1)),
    )


def _host(address: str) -> str:
    return address.rpartition(":")[0]
