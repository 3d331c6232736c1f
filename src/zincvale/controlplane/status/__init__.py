"""The observed status of resources: conditions as Kubernetes users know them.

Owns the conditions of each kind, the progress of drains and evacuations, and the snapshot that all
of them are computed from. Pure functions of intent, directory and members; nothing is stored but
since when a drained server is idle.

May import `controlplane.core_view` (what is read of the core) and `model`.

Reading order: `conditions` (types and names), `drain_progress` (when a drain is done),
`cluster_snapshot` (intent and observations of one moment), `server_status` and `resource_status`
(the conditions of each kind).
"""
