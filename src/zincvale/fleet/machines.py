"""The machines of one fleet: starts their processes, and replaces machines and servers."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path

import attrs
import yaml

from zincvale.fleet.daemon_settings import daemon_settings, write_settings
from zincvale.fleet.link_plan import (
    LINKS_PER_PROCESS,
    PlannedLink,
    address_map,
    control_address,
)
from zincvale.fleet.processes import Command, ProcessTable
from zincvale.fleet.relay_links import RelaySettings
from zincvale.fleet.run_folder import RunFolder
from zincvale.model.resources import Document
from zincvale.standins import assemble
from zincvale.standins.deployment import BackEndServer, Deployment, Machine, MachineRole
from zincvale.standins.settings import save_settings

DAEMON_MODULE = "zincvale.cli.main"
STAND_IN_MODULE = "zincvale.standins.main"
RELAY_MODULE = "zincvale.fleet.relay_main"
REPLACEMENT_HOST_OFFSET = 40
"""What the last octet of a replaced machine's address grows by, per replacement number."""


@attrs.define
class Fleet:
    """The processes of one deployment, which all run on this machine.

    Parameters
    ----------
    deployment : is updated when machines or servers are replaced.
    documents : the first intent, which contains the stores' limits.
    max_seconds : how long stand-ins run at most, in case the rig ends without stopping them.
    """

    deployment: Deployment
    documents: list[Document]
    folder: RunFolder
    table: ProcessTable
    links: list[PlannedLink]
    seed: int
    max_seconds: float
    _commands: dict[str, Command] = attrs.field(factory=dict)

    def start_relays(self) -> list[str]:
        """Start the relay processes, and return their control addresses."""
        controls = []
        for index, links in enumerate(_in_groups(self.links, LINKS_PER_PROCESS)):
            control = control_address(self.deployment, index)
            settings = RelaySettings(control, self.seed + index, [item.link for item in links])
            path = self.folder.settings_file(f"relay-{index}")
            path.write_text(yaml.safe_dump(settings.to_dict()), encoding="utf-8")
            self._start(Command(f"relay-{index}", RELAY_MODULE, ("--settings", str(path))))
            controls.append(control)
        return controls

    def start_stand_ins(self) -> None:
        """Start stores, back-end servers and the platform."""
        for store in self.deployment.stores:
            settings = assemble.store_settings(
                self.deployment, store, self.documents, self.folder.journals
            )
            save_settings(settings, self.folder.settings_file(store.name))
            self._start(self._stand_in(store.name, "store"))
        for server in self.deployment.servers:
            self.start_server(server)
        platform = assemble.platform_settings(self.deployment, self.folder.journals)
        save_settings(platform, self.folder.settings_file(assemble.PLATFORM_PROCESS))
        self._start(self._stand_in(assemble.PLATFORM_PROCESS, "platform"))

    def start_server(self, server: BackEndServer) -> None:
        """Write a back-end server's settings and start it, with no weights loaded."""
        command = assemble.standin_command(server)
        if command == "lookup":
            save_settings(
                assemble.lookup_settings(self.deployment, server, self.folder.journals, self.seed),
                self.folder.settings_file(server.name),
            )
        else:
            save_settings(
                assemble.language_model_settings(
                    self.deployment, server, self.folder.journals, seed=self.seed
                ),
                self.folder.settings_file(server.name),
            )
        self._start(self._stand_in(server.name, command))

    def start_daemons(self, bootstrap: bool) -> None:
        """Start every core and node; `bootstrap` creates the cluster."""
        for machine in self.deployment.machines:
            self.start_daemon(machine, bootstrap)

    def start_daemon(self, machine: Machine, bootstrap: bool = False) -> None:
        """Write a daemon's settings and start it; `restart` later starts it without `bootstrap`."""
        path = self._write_daemon_settings(machine)
        if machine.role is MachineRole.CORE:
            self.folder.data(machine.name).mkdir(parents=True, exist_ok=True)
        command = Command(
            machine.name, DAEMON_MODULE, (machine.role.value, "--settings", str(path))
        )
        first = command
        if bootstrap and machine.role is MachineRole.CORE:
            first = attrs.evolve(command, arguments=(*command.arguments, "--bootstrap"))
        self.table.start(first)
        self._commands[machine.name] = command

    def start_callers(self, name: str, settings_file: Path) -> None:
        """Start one process that runs callers."""
        arguments = ("callers", "--settings", str(settings_file))
        end = ("--max-seconds", str(self.max_seconds))
        self._start(Command(name, STAND_IN_MODULE, (*arguments, *end)))

    def restart(self, name: str) -> None:
        """Start an ended process with its previous command, without bootstrapping.

        A daemon's settings are written anew with the current seeds, as deployment tools would do.
        """
        for machine in self.deployment.machines:
            if machine.name == name:
                self._write_daemon_settings(machine)
        self.table.start(self._commands[name])

    def machine(self, name: str) -> Machine:
        """Return the machine of a daemon."""
        return next(machine for machine in self.deployment.machines if machine.name == name)

    def server(self, name: str) -> BackEndServer | None:
        """Return the back-end server of that name."""
        return next((item for item in self.deployment.servers if item.name == name), None)

    def is_core(self, name: str) -> bool:
        """Whether the deployment has a core of that name."""
        return any(core.name == name for core in self.deployment.cores())

    def add_replacement(self, old_name: str, number: int) -> Machine:
        """Replace the machine `old_name` of the deployment by an empty one, and return that."""
        old = self.machine(old_name)
        new = replace(old, name=f"{old_name}-r{number}", host=_replacement_host(old.host, number))
        machines = [item for item in self.deployment.machines if item.name != old_name]
        self.deployment = replace(self.deployment, machines=[*machines, new])
        return new

    def add_server_replacement(self, old_name: str, number: int) -> BackEndServer:
        """Replace the server `old_name` of the deployment by an empty one, and return that."""
        old = self.server(old_name)
        assert old is not None
        new = replace(old, name=f"{old_name}-r{number}", host=_replacement_host(old.host, number))
        servers = [item for item in self.deployment.servers if item.name != old_name]
        self.deployment = replace(self.deployment, servers=[*servers, new])
        return new

    def _write_daemon_settings(self, machine: Machine) -> Path:
        settings = daemon_settings(
            self.deployment, machine, self.folder, address_map(self.links, machine.name)
        )
        path = self.folder.settings_file(machine.name)
        write_settings(settings, path)
        return path

    def _stand_in(self, name: str, command: str) -> Command:
        settings = str(self.folder.settings_file(name))
        end = ("--max-seconds", str(self.max_seconds))
        return Command(name, STAND_IN_MODULE, (command, "--settings", settings, *end))

    def _start(self, command: Command) -> None:
        self._commands[command.name] = command
        self.table.start(command)


def _replacement_host(host: str, number: int) -> str:
    network, _, last = host.rpartition(".")
    return f"{network}.{(int(last) + REPLACEMENT_HOST_OFFSET * number) % 250 or 1}"


def _in_groups(links: list[PlannedLink], size: int) -> Iterable[list[PlannedLink]]:
    for start in range(0, len(links), size):
        yield links[start : start + size]
