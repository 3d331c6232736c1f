"""The observed status of resources: conditions in the form that Kubernetes uses.

Owns the conditions of each kind, the progress of drains and evacuations, and the snapshot from
which they are computed. Conditions are pure functions of intent, directory and members; the only
stored state is the progress of drains.

May import `controlplane.core_view` (the protocol for reading the core's state) and `model`.

Reading order: `conditions` (types and names), `drain_progress` (when a drain is done),
`cluster_snapshot` (intent and observations of one moment), `server_status` and `resource_status`
(the conditions of each kind).
"""
