"""The embeddable library: key registers, epochs, leases, election, membership, delivery.

It owns the replicated control state and decides who may act on it. It imports `zincvale.model` and
nothing else of the project; it has no event loop, disk, clock or global randomness, so the same
code runs in the daemons, the simulator and the tests.

Read in this order: `changes` and `config`, the vocabulary; `registers` and `replication`, how one
key survives; `leases`, `delivery` and `node`, how a change reaches every node before it is
acknowledged; `election` and `membership`; `core`, which wires the parts of a core together. The
design and its arguments are in docs/design-coordination.md.

Names for embedders (docs/embed.md); the rest is internal:

- machines: `core.machine.CoreMachine`, `core.standby_machine.StandbyMachine`,
  `node.machine.NodeMachine`;
- their configuration: `config.CoreConfig`, `NodeConfig`, `InitialCore`, `Timings`;
- reducers and views: `changes` (`RowChange`, `ChangeRefused`, `Reducer`, `KeyView`, `TopicView`,
  `LeadershipState`, `ChangeNotifications`);
- what a data folder had at the start: `registers.recovered_state.RecoveredState`;
- messages that an application sends: `registers.change_messages`, and `PublishTopic` of
  `delivery.messages`;
- `protocol`, which makes every message of a peer readable.

Inputs and effects of the machines are in `zincvale.model.machine`.
"""
