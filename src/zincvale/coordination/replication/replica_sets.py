"""The key `replica-sets`: which cores exist, and which replicas store which keys.

Rows: `cluster` (incarnation of the cluster), `core/ID` (a core and its disk), `group/NAME` (the
replicas of a group of keys and, while a change is in progress, the previous ones), `key/NAME` (the
group of a key and the replicas that it was created with). The rows only declare the replicas. The
record of each key carries its own configuration, and the owner of the key moves the record to the
declared one.
"""

from __future__ import annotations

import attrs
import orjson

from zincvale.coordination.changes import Rows
from zincvale.coordination.membership.messages import MemberInfo
from zincvale.coordination.replication.replica_config import ReplicaConfig, ReplicaId, replica_id
from zincvale.model.identifiers import MemberId

REPLICA_SETS_KEY = "replica-sets"
REGISTRY_KEY = "registry"
INTENT_KEY = "intent"
DELIVERED_KEYS = (INTENT_KEY, REGISTRY_KEY)
"""Keys that nodes store and whose versions they confirm. Effects are emitted in this order."""
ROLE_KEY_PREFIX = "role/"
DEFAULT_GROUP = "default"
CLUSTER_ROW = "cluster"
CORE_PREFIX = "core/"
GROUP_PREFIX = "group/"
KEY_PREFIX = "key/"


@attrs.frozen
class CoreRow:
    """A declared core; its vote is bound to the identity of its disk."""

    info: MemberInfo
    disk: str

    def replica(self) -> ReplicaId:
        """Return the identifier of the replica on the disk of this core."""
        return replica_id(self.info.member, self.disk)


@attrs.frozen
class KeyRow:
    """The group of a key and the replicas that stored its first record."""

    group: str
    initial: ReplicaConfig


@attrs.frozen
class ReplicaSets:
    """The decoded value of the key `replica-sets`."""

    version: int = 0
    cluster_incarnation: str = ""
    cores: dict[MemberId, CoreRow] = attrs.field(factory=dict)
    groups: dict[str, ReplicaConfig] = attrs.field(factory=dict)
    keys: dict[str, KeyRow] = attrs.field(factory=dict)

    def initial_config(self, key: str) -> ReplicaConfig:
        """Return the configuration to use for a key that was never written."""
        row = self.keys.get(key)
        return row.initial if row is not None else ReplicaConfig()

    def declared_config(self, key: str) -> ReplicaConfig:
        """Return the configuration that is declared for the group of `key`."""
        row = self.keys.get(key)
        return self.groups.get(row.group if row else DEFAULT_GROUP, ReplicaConfig())

    def grantors(self) -> ReplicaConfig:
        """Return the configuration of the cores that grant leases."""
        return self.groups.get(DEFAULT_GROUP, ReplicaConfig())


def encode_core(row: CoreRow) -> bytes:
    """Return the content of a row that declares a core."""
    return orjson.dumps({"info": attrs.asdict(row.info), "disk": row.disk})


def encode_group(row: ReplicaConfig) -> bytes:
    """Return the content of a row that declares a group."""
    return orjson.dumps(attrs.asdict(row))


def encode_key(row: KeyRow) -> bytes:
    """Return the content of a row that declares a key."""
    return orjson.dumps({"group": row.group, "initial": attrs.asdict(row.initial)})


def initial_rows(cluster_incarnation: str, cores: list[CoreRow], keys: list[str]) -> Rows:
    """Return the rows of the key `replica-sets` in a new cluster."""
    config = ReplicaConfig([row.replica() for row in cores])
    rows = {f"{CORE_PREFIX}{row.info.member}": encode_core(row) for row in cores}
    rows[f"{GROUP_PREFIX}{DEFAULT_GROUP}"] = encode_group(config)
    for key in keys:
        rows[f"{KEY_PREFIX}{key}"] = encode_key(KeyRow(DEFAULT_GROUP, config))
    rows[CLUSTER_ROW] = cluster_incarnation.encode()
    return rows


def decode_replica_sets(version: int, rows: Rows) -> ReplicaSets:
    """Return the decoded rows of the key `replica-sets`."""
    sets = ReplicaSets(version, rows.get(CLUSTER_ROW, b"").decode())
    for row, value in rows.items():
        if row.startswith(CORE_PREFIX):
            member = MemberId(row.removeprefix(CORE_PREFIX))
            sets.cores[member] = _decode_core(value)
        elif row.startswith(GROUP_PREFIX):
            group = ReplicaConfig(**orjson.loads(value))
            sets.groups[row.removeprefix(GROUP_PREFIX)] = group
        elif row.startswith(KEY_PREFIX):
            sets.keys[row.removeprefix(KEY_PREFIX)] = _decode_key(value)
    return sets


def _decode_core(value: bytes) -> CoreRow:
    fields = orjson.loads(value)
    return CoreRow(MemberInfo(**fields["info"]), fields["disk"])


def _decode_key(value: bytes) -> KeyRow:
    fields = orjson.loads(value)
    return KeyRow(fields["group"], ReplicaConfig(**fields["initial"]))
