"""Embeddable coordination library: registers, epochs, leases, election, membership, delivery.

The library stores the replicated control state and decides which process may act on it. Of this
project, it imports only `zincvale.model`. It uses no event loop, disk, clock or global randomness,
so the same code runs in the daemons, the simulator and the tests.

Reading order: `changes` and `config`, the basic types; `registers` and `replication`, which store
the value of a key durably; `leases`, `delivery` and `node`, which ensure that every node applies a
change before it is acknowledged; `election` and `membership`; `core`, which assembles a core from
these parts. docs/design-coordination.md explains the design.

Public names for embedding applications (docs/embed.md); everything else is internal:

- machines: `core.machine.CoreMachine`, `core.standby_machine.StandbyMachine`,
  `node.machine.NodeMachine`;
- their configuration: `config.CoreConfig`, `NodeConfig`, `InitialCore`, `Timings`;
- reducers and views: `changes` (`RowChange`, `ChangeRefused`, `Reducer`, `KeyView`, `TopicView`,
  `LeadershipState`, `ChangeNotifications`);
- the state recovered from a data folder at the start: `registers.recovered_state.RecoveredState`;
- messages that an application sends: `registers.change_messages`, and `PublishTopic` of
  `delivery.messages`;
- `protocol`, which makes all messages of peers decodable.

The inputs and effects of the machines are defined in `zincvale.model.machine`.
"""
