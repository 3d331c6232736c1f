"""Delays between the processes of a deployment, as a what-if run assumes them.

The defaults were measured on real fleets on one loaded machine (docs: what-if, "Validation").
All values are seconds.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class Timings:
    """Modelled delays.

    Attributes
    ----------
    caller_hop_s : one way between a caller and a node, including the handling of the request.
    server_hop_s : one way between a node and a back end.
    claim_s : to take, renew or release a claim or to record its outcome, at a majority of its
        voters; also to look up a stream.
    journal_s : to journal a chunk at the peer, before the caller receives it.
    probe_hop_s : one way between the directory's prober and a server.
    intent_to_core_s : from an operator's change until the placement controller has it.
    intent_to_node_s : from an operator's change until a node applies it.
    publication_s : from a publication of the directory or of the move table until a node has it.
    report_hop_s : one way from a node to the control machine, for demand reports and for the
        confirmation of a publication.
    delivery_jitter : largest relative deviation of a delivery to a node from its delay, drawn
        uniformly; 0.3 means 70 % to 130 %.
    order_hop_s : one way between the placement controller and a server.
    systems_tick_s : interval of the ticks of directory and placement.
    pull_overhead_s : time that a pull takes beyond its transfer: connection, pacing and last piece.
    lease_s : from the end of a node until it leaves the member table.
    node_start_s : from the start of a node until it has current tables and accepts callers.
    warm_up_s : from the start of the run to the first caller, as the fleet rig needs it.
    """

    caller_hop_s: float = 0.004
    server_hop_s: float = 0.004
    claim_s: float = 0.01
    journal_s: float = 0.012
    probe_hop_s: float = 0.004
    intent_to_core_s: float = 0.06
    intent_to_node_s: float = 0.2
    publication_s: float = 0.08
    report_hop_s: float = 0.01
    delivery_jitter: float = 0.3
    order_hop_s: float = 0.004
    systems_tick_s: float = 0.1
    pull_overhead_s: float = 0.03
    lease_s: float = 2.0
    node_start_s: float = 3.0
    warm_up_s: float = 6.0
