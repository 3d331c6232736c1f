"""Log events of coordination (2xxx).

Numbers are an interface of the operators' tools and are never used again; names may change.
"""

from __future__ import annotations

from zincvale.model.log_events import declare

CLUSTER_CREATED = declare(2001, "cluster.created", "A new cluster was created on empty disks.")
OWNER_STARTED = declare(2002, "owner.started", "This core owns a key under a new epoch.")
OWNER_LOST = declare(2003, "owner.lost", "A higher epoch exists: this core no longer owns the key.")
REPLICA_STOPPED = declare(
    2004, "replica.stopped", "A write failed: the replica stops voting until its disk takes writes."
)
REPLICA_RESUMED = declare(2005, "replica.resumed", "The disk takes writes again; voting goes on.")
ROLE_TAKEN = declare(2006, "role.taken", "This process holds a leader lease; carries its epoch.")
ROLE_LOST = declare(2007, "role.lost", "The leader lease ended or was given up.")
CLOCK_JUMPED = declare(2008, "leases.dropped", "The clock jumped: this process dropped its leases.")
NODE_READY = declare(2009, "node.ready", "The node holds the newest version and is fresh.")
NODE_UNREADY = declare(2010, "node.unready", "The node is not fresh or lacks the newest version.")
CREATION_REFUSED = declare(
    2011, "cluster.creation-refused", "Empty disks, but a cluster of this id exists: not created."
)
VALUE_RESTORED = declare(
    2012,
    "value.restored",
    "The replicas had lost a version that a node had applied; it is written again.",
)
REPLICAS_CHANGED = declare(2013, "replicas.changed", "The declared replica sets changed.")
CORE_STANDS_BY = declare(
    2014,
    "core.stands-by",
    "A core process without a data folder has no vote; it sends callers to cores that vote.",
)
