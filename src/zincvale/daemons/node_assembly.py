"""What every node daemon is assembled from."""

from __future__ import annotations

from zincvale.coordination.config import NodeConfig, Timings
from zincvale.model.identifiers import Address, MemberId, ZoneName
from zincvale.runtime.settings import DaemonSettings


def node_config(
    settings: DaemonSettings,
    incarnation: str,
    topics: tuple[str, ...] = ("directory", "moves"),
    timings: Timings | None = None,
) -> NodeConfig:
    """Return the coordination machine's configuration of a node."""
    return NodeConfig(
        cluster_id=settings.cluster_id,
        member=MemberId(settings.member_id),
        incarnation=incarnation,
        zone=ZoneName(settings.zone),
        region=settings.region,
        api_address=Address(settings.api_address),
        peer_address=Address(settings.peer_address),
        seeds=tuple(Address(seed) for seed in settings.seeds),
        topics=topics,
        timings=timings or Timings(),
    )
