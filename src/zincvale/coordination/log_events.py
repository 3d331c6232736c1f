"""Log events of coordination (numbers 2xxx).

Tools of operators depend on the numbers, so a number is never reused. Names may change.
"""

from __future__ import annotations

from zincvale.model.log_events import declare

CLUSTER_CREATED = declare(2001, "cluster.created", "A new cluster was created on empty disks.")
OWNER_STARTED = declare(2002, "owner.started", "This core owns a key under a new epoch.")
OWNER_LOST = declare(2003, "owner.lost", "A higher epoch exists: this core no longer owns the key.")
REPLICA_STOPPED = declare(
    2004,
    "replica.stopped",
    "A write failed: the replica stops voting until its disk accepts writes.",
)
REPLICA_RESUMED = declare(
    2005, "replica.resumed", "The disk accepts writes again: the replica votes again."
)
ROLE_TAKEN = declare(
    2006, "role.taken", "This process acquired a leader lease under the logged epoch."
)
ROLE_LOST = declare(2007, "role.lost", "The leader lease of this process ended or was released.")
CLOCK_JUMPED = declare(2008, "leases.dropped", "The clock jumped: this process dropped its leases.")
NODE_READY = declare(
    2009, "node.ready", "The node is ready: no version that it lacks can have been acknowledged."
)
NODE_UNREADY = declare(
    2010, "node.unready", "The node is not ready: it may lack a version that was acknowledged."
)
CREATION_REFUSED = declare(
    2011,
    "cluster.creation-refused",
    "A cluster with this id exists already: no new one is created on the empty disks.",
)
VALUE_RESTORED = declare(
    2012,
    "value.restored",
    "A version that a node had applied and the replicas had lost was written again.",
)
REPLICAS_CHANGED = declare(2013, "replicas.changed", "The declared replica sets changed.")
RECORD_MOVED = declare(
    2015, "record.moved", "The record of a key was chosen on other replicas than before."
)
CHANGE_NOT_APPLIED = declare(
    2016,
    "change.not-applied",
    "An operator's change was rejected, or not confirmed in time; status says which.",
)
NODES_NOT_CONFIRMED = declare(
    2017,
    "rollout.nodes-not-confirmed",
    "A change counts as in force although some registered nodes, which have no live lease, did "
    "not confirm it.",
)
POLL_ABANDONED = declare(
    2018,
    "poll.abandoned",
    "A long poll that got no response was abandoned for another host; reason says why.",
)
CORE_STANDS_BY = declare(
    2014,
    "core.stands-by",
    "A core process without a data folder has no vote: it redirects callers to voting cores.",
)
