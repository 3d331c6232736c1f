"""The observed servers: their identities, addresses, health and loaded models.

Two modules can produce the published table. `machine` probes servers and follows the platform's
list; it runs under the leader lease of the role `directory`, whose fencing epoch protects what it
publishes. `server_discovery` follows a list that an external system maintains, without a leader.

May import `model`, `coordination` (topics), `controlplane.addresses` and `controlplane.log_events`.
Nothing here opens a connection: the daemons execute the effects.

Reading order: `events` (inputs and effects), `backend_status` (responses of servers and of the
platform), `tracked_servers`, `probe_schedule`, `prober_assignment` and `server_table` (the state),
`publication` (which rows are published when), `row_codec` (the published rows), `machine` (which
combines them), `messages` and `server_prober` (probers other than the publisher),
`server_discovery`.
"""
