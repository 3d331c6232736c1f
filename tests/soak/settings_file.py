"""The settings file of one process, as the platform writes it."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import attrs

from tests.soak.layout import (
    CONTROL_PORT,
    FRONT_PORT,
    INTERNAL_PORTS,
    READY_PORT,
    MachineSpec,
)

CONTACT_S, CONFIGURATION_S, OUTER_S, BACK_S, GRACE_S = 3.0, 2.0, 5.0, 0.25, 8.0
EVACUATION_S = 5.0
ACKNOWLEDGE_S = 4.0
"""Bounds in seconds that the settings state and the checks use."""


@attrs.frozen
class ProcessLimits:
    """What the platform lets one process use."""

    memory_mb: int
    file_descriptors: int


def write_settings(
    path: Path,
    machine: MachineSpec,
    role: str,
    seeds: Sequence[str],
    list_address: str,
    data_folder: Path,
    *,
    bootstrap: bool,
    limits: ProcessLimits | None = None,
) -> None:
    """Replace the settings file of one process, in one step."""
    data = str(data_folder) if role == "core" else ""
    text = f"""node = "{machine.name}"
role = "{role}"
serves = ["{"control_plane" if role == "core" else "frontend"}"]
ip = "{machine.ip}"
zone = "{machine.zone}"
region = "region"
internalPorts = [{INTERNAL_PORTS[0]},{INTERNAL_PORTS[1]}]
seeds = [{",".join(f'"{seed}"' for seed in seeds)}]
bootstrap = {str(bootstrap).lower()}
dataDirectory = "{data}"
[listen]
front = "{machine.ip}:{FRONT_PORT}"
readiness = "{machine.ip}:{READY_PORT}"
control = "{machine.ip}:{CONTROL_PORT}"
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
contactMs = {int(CONTACT_S * 1000)}
acknowledgeMs = 4000
catchUpS = 4
drainMs = 3000
graceS = {int(GRACE_S)}
evacuationMs = {int(EVACUATION_S * 1000)}
configurationMs = {int(CONFIGURATION_S * 1000)}
backMs = {int(BACK_S * 1000)}
outerMs = {int(OUTER_S * 1000)}
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 62
coldOver = 1.5
coldSlack = 5
leaseMs = 3000
ceilingWindowS = 5
ceilingOver = 1.1
[cloud]
address = "{list_address}"
ratePerS = 44.0
lagMs = 800
{_limits_table(limits)}"""
    temporary = path.with_suffix(".new")
    temporary.write_text(text, encoding="utf-8")
    temporary.replace(path)


def _limits_table(limits: ProcessLimits | None) -> str:
    if limits is None:
        return ""
    return f"""[limits]
cores = 1
memoryMb = {limits.memory_mb}
fileDescriptors = {limits.file_descriptors}
"""
