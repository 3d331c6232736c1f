"""Upper bounds on the sizes of replicas that no resource declares.

A core that has started after a model was retired learns the name of the model from the servers, but
not its size. Unless a server reports its memory use, all memory that its other replicas leave may
be in use, so that nothing is loaded into it.
"""

from __future__ import annotations

from zincvale.controlplane.placement.servers import ReplicaState, ServerState
from zincvale.controlplane.placement.state import PlacementState


def bound_unknown_sizes(placement: PlacementState, server: ServerState) -> None:
    """Bound the unknown sizes on a server; every bound holds for good, so the least one counts."""
    if not server.memory_bytes:
        return
    unknown = [replica for replica in server.replicas.values() if not replica.is_size_known]
    if not unknown:
        return
    known_bytes = sum(
        replica.item_bytes
        for replica in server.replicas.values()
        if replica.is_size_known and replica.state is ReplicaState.LOADED
    )
    bound = max(server.memory_bytes - known_bytes, 0)
    for replica in unknown:
        if not replica.item_bytes or bound < replica.item_bytes:
            server.reserved_bytes += bound - replica.item_bytes
            replica.item_bytes = bound
            placement.free_memory.mark_stale(server)
