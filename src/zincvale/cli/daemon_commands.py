"""The commands `zincvale core` and `zincvale node`, which run the daemons."""

from __future__ import annotations

from typing import Any

from zincvale.runtime.hangup import defer_hangups
from zincvale.runtime.logs import open_log
from zincvale.runtime.settings import DaemonSettings, load_settings

CORE_ROLE = "core"
NODE_ROLE = "node"


def run_core(
    settings: str = "", bootstrap: bool = False, recover: bool = False, **overrides: Any
) -> None:
    """Run a core: replicated control state, control API and singleton roles.

    Args:
        settings: the settings file (YAML); every field can also be given as a flag.
        bootstrap: this start may create the cluster from `bootstrap_cores`; give it once only.
        recover: with --bootstrap, after the loss of every disk: the cluster is created again from
            what the nodes hold.
        overrides: settings fields, for example --zone zone-a --data_folder data/core-1.
    """
    defer_hangups()
    loaded = _load(settings, CORE_ROLE, overrides)
    from zincvale.daemons.core_daemon import CoreDaemon

    CoreDaemon(loaded, bootstrap=bool(bootstrap), recover=bool(recover)).run()


def run_node(settings: str = "", **overrides: Any) -> None:
    """Run a node: takes callers' requests, routes them and collects traces.

    Args:
        settings: the settings file (YAML); every field can also be given as a flag.
        overrides: settings fields, for example --zone zone-a --seeds '["127.0.0.1:9000"]'.
    """
    defer_hangups()
    loaded = _load(settings, NODE_ROLE, overrides)
    from zincvale.daemons.node_daemon import NodeDaemon

    NodeDaemon(loaded).run()


def _load(path: str, role: str, overrides: dict[str, Any]) -> DaemonSettings:
    settings = load_settings(path, {**overrides, "role": role})
    open_log(settings.log_file, settings.member_id)
    return settings
