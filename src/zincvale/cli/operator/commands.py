"""The commands apply, get, describe, watch, drain and evacuate.

Operators declare resources and watch their state. Drains and evacuations are edits of declared
state like any other change. Every command takes its arguments as text (`runner` passes them that
way) and returns the text to print; failures are typed errors, whose exit codes are in `errors`.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, TypeVar

from zincvale.cli.operator.arguments import (
    read_cores,
    read_count,
    read_flag,
    read_mode,
    read_order_id,
    read_output,
    read_seconds,
    read_text,
)
from zincvale.cli.operator.changes import (
    DeclaredState,
    apply_change,
    confirmation_text,
    declare_state,
    with_location,
)
from zincvale.cli.operator.errors import UsageError
from zincvale.cli.operator.files import read_resources
from zincvale.cli.operator.http import CurlTransport
from zincvale.cli.operator.kinds import OBSERVED_TABLES, declared_table_of, table_of
from zincvale.cli.operator.output import describe_text, json_text
from zincvale.cli.operator.reads import get_intent, get_observed, get_resources, resource_target
from zincvale.cli.operator.session import Confirmation, CoreTransport, OperatorSession
from zincvale.cli.operator.watch import watch_intent, watch_status
from zincvale.model.errors import InvalidInputError

DEFAULT_LIMIT_S = "30"
"""Default time limit in seconds for confirming a change; text, as from the command line."""

ResultType = TypeVar("ResultType")
SessionAction = Callable[[OperatorSession, CoreTransport], Awaitable[ResultType]]


class OperatorCommands:
    """Commands that declare and watch resources at the cores.

    Parameters
    ----------
    make_transport : creates the HTTP client; called inside the event loop.
    environment : environment variables, of which `ZINCVALE_CORES` is read.
    write : prints output while a command is still running.
    """

    def __init__(
        self,
        make_transport: Callable[[], CoreTransport] = CurlTransport,
        environment: Mapping[str, str] = os.environ,
        write: Callable[[str], None] = print,
    ) -> None:
        self._make_transport = make_transport
        self._environment = environment
        self._write = write

    def apply(
        self,
        file: str,
        base_version: str = "",
        order_id: str = "",
        mode: str = "merge",
        core: str = "",
        limit_s: str = DEFAULT_LIMIT_S,
        output: str = "table",
    ) -> str:
        """Apply resource files; returns when the change is in force everywhere.

        Args:
            file: YAML or JSON files or folders, separated by commas; - reads standard input.
            base_version: version the change was built on; another change since then is a conflict.
            order_id: name of this order; give the same one to send an unconfirmed order again.
            mode: merge patches the named resources, replace declares the whole intent.
            core: addresses of cores, ip:port[,ip:port]; ZINCVALE_CORES when left out.
            limit_s: seconds after which an unconfirmed order is given up (exit code 3).
            output: table or json.
        """
        version = read_count(base_version, "base-version")
        order = read_order_id(order_id)
        limit = read_seconds(limit_s, "limit-s")
        output_format = read_output(output)
        if read_mode(mode) == "replace" and version is None:
            raise UsageError(
                "replace without --base-version would undo changes that you have not seen",
                "pass the version of `zincvale get intent`, 0 for an empty cluster",
            )
        resources = read_resources(part for part in read_text(file).split(",") if part)
        body = {
            "baseVersion": version,
            "mode": mode,
            "resources": [resource.document for resource in resources],
        }
        try:
            return self._run(
                core,
                lambda session, _: apply_change(session, body, order, limit),
                lambda confirmation: confirmation_text(confirmation, output_format),
            )
        except InvalidInputError as error:
            raise with_location(error, resources) from error

    def get(self, kind: str, name: str = "", core: str = "", output: str = "table") -> str:
        """List resources of a kind, or one; also members, moves, roles, replicas and intent.

        Args:
            kind: zones, servers, pools, routes, stores, models, adapters, members, moves, roles,
                replicas, or intent for everything that is declared.
            name: one resource.
            core: addresses of cores, ip:port[,ip:port]; ZINCVALE_CORES when left out.
            output: table, json, or yaml for a file that apply takes.
        """
        output_format = read_output(output)
        if kind.lower() == "intent":
            return self._run(core, lambda session, _: get_intent(session, output_format))
        table = table_of(kind)
        if table in OBSERVED_TABLES:
            return self._run(
                core,
                lambda session, _: get_observed(session, table, read_text(name), output_format),
            )
        return self._run(
            core, lambda session, _: get_resources(session, table, read_text(name), output_format)
        )

    def describe(self, kind: str, name: str, core: str = "", output: str = "table") -> str:
        """Show one resource: its spec with defaults, conditions and what is observed.

        Args:
            kind: zone, server, pool, route, store, model or adapter.
            name: the resource.
            core: addresses of cores, ip:port[,ip:port]; ZINCVALE_CORES when left out.
            output: table for reading, or json.
        """
        target = resource_target(declared_table_of(kind), read_text(name))
        as_json = read_output(output) == "json"
        resource = self._run(core, lambda session, _: session.read_json(target))
        return json_text(resource) if as_json else describe_text(resource)

    def watch(
        self,
        kind: str = "",
        name: str = "",
        until: str = "",
        after: str = "0",
        limit_s: str = "",
        core: str = "",
        output: str = "table",
    ) -> None:
        """Show changes as they come: of the intent, or of one resource's conditions.

        Args:
            kind: kind of one resource; without it the intent is watched.
            name: the resource.
            until: end when this condition holds, for example Drained; exit code 5 if it does not.
            after: intent version from which to watch.
            limit_s: seconds after which to end; without it, until interrupted.
            core: addresses of cores, ip:port[,ip:port]; ZINCVALE_CORES when left out.
            output: table or json.
        """
        limit = read_seconds(limit_s, "limit-s") if limit_s != "" else None
        as_json = read_output(output) == "json"
        version = read_count(after, "after") or 0
        if not kind:
            self._run(
                core,
                lambda session, transport: watch_intent(
                    session, transport, self._write, version, limit, as_json
                ),
            )
            return
        if not name:
            raise UsageError(f"watch {kind} names no resource", "add its name")
        target = resource_target(declared_table_of(kind), read_text(name))
        self._run(
            core,
            lambda session, transport: watch_status(
                session, transport, self._write, target, until, limit, as_json
            ),
        )

    def drain(
        self,
        server: str,
        undo: str = "False",
        wait: str = "False",
        force: str = "False",
        order_id: str = "",
        core: str = "",
        limit_s: str = DEFAULT_LIMIT_S,
        output: str = "table",
    ) -> str:
        """Declare a server drained: it gets nothing new and finishes what it runs.

        Args:
            server: the server's name.
            undo: put the server back into service.
            wait: return when the server runs nothing any more.
            force: declare it although no such server is known.
            order_id: name of this order; give the same one to send an unconfirmed order again.
            core: addresses of cores, ip:port[,ip:port]; ZINCVALE_CORES when left out.
            limit_s: seconds after which an unconfirmed order, or the wait, is given up.
            output: table or json.
        """
        state = DeclaredState(
            "Server", read_text(server), "drained", not read_flag(undo, "undo"), "Drained"
        )
        return self._declare(state, wait, force, order_id, core, limit_s, output)

    def evacuate(
        self,
        zone: str,
        undo: str = "False",
        wait: str = "False",
        force: str = "False",
        order_id: str = "",
        core: str = "",
        limit_s: str = DEFAULT_LIMIT_S,
        output: str = "table",
    ) -> str:
        """Declare a zone evacuated: its servers get nothing new.

        Args:
            zone: the zone's name.
            undo: open the zone again.
            wait: return when the zone's servers run nothing any more.
            force: declare it although no such zone is known.
            order_id: name of this order; give the same one to send an unconfirmed order again.
            core: addresses of cores, ip:port[,ip:port]; ZINCVALE_CORES when left out.
            limit_s: seconds after which an unconfirmed order, or the wait, is given up.
            output: table or json.
        """
        state = DeclaredState(
            "Zone", read_text(zone), "evacuated", not read_flag(undo, "undo"), "Evacuated"
        )
        return self._declare(state, wait, force, order_id, core, limit_s, output)

    def _declare(
        self,
        state: DeclaredState,
        wait: str,
        force: str,
        order_id: str,
        core: str,
        limit_s: str,
        output: str,
    ) -> str:
        order = read_order_id(order_id)
        limit = read_seconds(limit_s, "limit-s")
        output_format = read_output(output)
        until = state.condition if read_flag(wait, "wait") and state.value else ""
        must_exist = state.value and not read_flag(force, "force")
        write = _discard_line if output_format == "json" else self._write
        return self._run(
            core,
            lambda session, transport: declare_state(
                session, transport, write, state, must_exist, until, order, limit
            ),
            lambda confirmation: _final_text(confirmation, until, output_format),
        )

    def _run(
        self,
        core: str,
        action: SessionAction[ResultType],
        show: Callable[[ResultType], Any] = lambda result: result,
    ) -> Any:
        cores = read_cores(core, self._environment)

        async def run() -> ResultType:
            transport = self._make_transport()
            return await action(OperatorSession(transport, cores), transport)

        return show(asyncio.run(run()))


def _final_text(confirmation: Confirmation, until: str, output: str) -> str:
    """Return the final output; with a wait, the confirmation was already printed before it."""
    return until if until and output == "table" else confirmation_text(confirmation, output)


def _discard_line(line: str) -> None:
    """Discard progress output, so that JSON output is a single JSON value."""


def operator_commands(
    commands: OperatorCommands | None = None,
) -> dict[str, Callable[..., Any]]:
    """Return the commands by name; `commands` overrides the default instance."""
    instance = commands or OperatorCommands()
    return {
        "apply": instance.apply,
        "get": instance.get,
        "describe": instance.describe,
        "watch": instance.watch,
        "drain": instance.drain,
        "evacuate": instance.evacuate,
    }
