"""Upper bounds on the sizes of replicas that no resource declares.

A core that has started after a model was retired learns the name of the model from the servers, but
not its size. Unless a server reports its memory use, all memory that its other replicas leave may
be in use, so that nothing is loaded into it until the replicas of unknown size are unloaded.
"""

from __future__ import annotations

from zincvale.controlplane.placement.servers import UNBOUNDED_BYTES, ReplicaState, ServerState
from zincvale.controlplane.placement.state import PlacementState


def bound_unknown_sizes(placement: PlacementState, server: ServerState) -> None:
    """Bound the sum of the unknown sizes on a server.

    Every bound holds until another replica of unknown size comes, so the least one counts.
    """
    if not server.unknown_bytes or not server.memory_bytes:
        return
    known_bytes = sum(
        replica.least_bytes
        for replica in server.replicas.values()
        if replica.is_size_known and replica.state is ReplicaState.LOADED
    )
    bound = max(server.memory_bytes - known_bytes, 0)
    if bound < server.unknown_bytes:
        server.unknown_bytes = bound
        placement.free_memory.mark_stale(server)


def bound_unknown_sizes_anew(placement: PlacementState, server: ServerState) -> None:
    """Replace a bound that was learned with another memory size of the server."""
    if server.has_unknown_sizes():
        server.unknown_bytes = UNBOUNDED_BYTES
        bound_unknown_sizes(placement, server)
