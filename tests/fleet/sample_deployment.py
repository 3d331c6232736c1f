"""A small deployment for tests."""

from __future__ import annotations

from zincvale.model.resources import PoolKind
from zincvale.standins.deployment import (
    BackEndServer,
    Deployment,
    LanguageModelProfile,
    LookupProfile,
    Machine,
    MachineRole,
    PlatformMachine,
    StoreMachine,
)

ZONES = ["zone-a", "zone-b", "zone-c"]


def sample_deployment() -> Deployment:
    """Return three cores, two nodes, one server of each kind and one store."""
    cores = [
        Machine(f"core-{letter}", MachineRole.CORE, f"zone-{letter}", f"{number}.1")
        for number, letter in enumerate("abc", start=1)
    ]
    nodes = [
        Machine("node-1", MachineRole.NODE, "zone-a", "1.11"),
        Machine("node-2", MachineRole.NODE, "zone-b", "2.11"),
    ]
    return Deployment(
        name="sample",
        network="127.90",
        cluster_id="sample-1",
        region="region-1",
        zones=list(ZONES),
        machines=[*cores, *nodes],
        servers=[
            BackEndServer("chat-1", PoolKind.LANGUAGE_MODEL, "chat", "zone-a", "1.101"),
            BackEndServer("lookup-1", PoolKind.LOOKUP, "lookup", "zone-b", "2.200"),
        ],
        stores=[StoreMachine("store-1", "zone-a", "1.50")],
        platform=PlatformMachine("zone-a", "8.1"),
        language_model_profiles={"chat": LanguageModelProfile(10**9, 10**9)},
        lookup_profiles={"lookup": LookupProfile()},
    )
