"""The observed servers: who they are, where, in what health and with which models.

Two ways lead to the same published table. `machine` probes servers and follows the platform's list;
it runs under the leader lease of the role `directory`, whose fencing epoch guards what it
publishes. `server_discovery` follows a list that an outside system keeps, and needs no leader.

May import `model`, `coordination` (topics) and `controlplane.addresses` and `log_events`. Nothing
here opens a connection: the daemons carry out the effects.

Reading order: `events` (inputs and effects), `backend_status` (what servers and the platform send),
`tracked_servers`, `probe_schedule`, `prober_assignment` and `server_table` (the state),
`publication` (what is published when), `row_codec` (the published rows), `machine` (all of it
together), `messages` and `server_prober` (probers apart from the publisher), `server_discovery`.
"""
