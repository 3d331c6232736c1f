"""Delays between the processes of a deployment, as a what-if run assumes them.

The defaults were read off real fleets on one loaded machine (docs: what-if, "Validation").
All values are seconds.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class Timings:
    """Modelled delays.

    Attributes
    ----------
    caller_hop_s : between a caller and a node, one way, with the handling of the request.
    server_hop_s : between a node and a back end, one way.
    claim_s : a claim at a majority of the holders, or its record or release.
    journal_s : a piece at the peer before the caller gets it.
    probe_hop_s : between the directory's prober and a server, one way.
    intent_to_core_s : from an operator's change to the controller's tables.
    intent_to_node_s : from an operator's change to its being in force at a node.
    publication_s : from the directory or the calendar to a node.
    report_hop_s : from a node's demand report to the controller.
    delivery_jitter : each delivery to a node is drawn from this fraction around its delay.
    order_hop_s : between the controller and a server, one way.
    systems_tick_s : how often the control machine's systems look at the clock.
    pull_overhead_s : connection, pacing and last piece of a pull.
    lease_s : a killed node leaves the member table after this.
    node_start_s : a restarted node is fresh and takes callers after this.
    warm_up_s : from the first intent to the first caller, as the fleet rig needs it.
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
