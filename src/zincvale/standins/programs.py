"""Builds each stand-in program from its settings; a program runs until its stop event is set."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import orjson
from tornado.httpserver import HTTPServer

from zincvale.runtime.clock import suspend_aware_now
from zincvale.standins.back_end import BackEnd, new_identity
from zincvale.standins.deployment import load_deployment, load_intent
from zincvale.standins.journal import Journal
from zincvale.standins.language_model import http_handlers as language_model_server
from zincvale.standins.language_model.server import LanguageModel
from zincvale.standins.language_model.weight_puller import WeightPuller
from zincvale.standins.load.callers import Callers
from zincvale.standins.load.http_client import CallerClient
from zincvale.standins.load.request_plan import Planner
from zincvale.standins.load.spec import load_load_spec
from zincvale.standins.lookup import server as lookup_server
from zincvale.standins.lookup.server import Lookup
from zincvale.standins.operators.core_client import HttpCoreClient
from zincvale.standins.operators.runner import Operators
from zincvale.standins.operators.script import load_script
from zincvale.standins.platform import server as platform_server
from zincvale.standins.process import listen
from zincvale.standins.settings import (
    CallersSettings,
    LanguageModelSettings,
    LookupSettings,
    OperatorsSettings,
    PlatformSettings,
    StoreSettings,
)
from zincvale.standins.weight_store import server as weight_store

Program = Callable[[asyncio.Event], Awaitable[None]]


def language_model_program(settings: LanguageModelSettings) -> Program:
    """Return the program of one language-model server."""

    async def run(stop: asyncio.Event) -> None:
        journal = Journal(settings.journal, suspend_aware_now)
        profile = settings.profile
        puller = WeightPuller(settings.server, profile.pull_bytes_per_second, settings.address_map)
        identity = new_identity(settings.server, settings.pool, settings.zone)
        model = LanguageModel(identity, profile, journal, suspend_aware_now, puller, settings.seed)
        server = listen(language_model_server.make_application(model), settings.address)
        _journal_start(model, profile.memory_bytes)
        model.preload(settings.resident)
        for behaviour in settings.behaviours:
            model.add_behaviour(behaviour)
        await stop.wait()
        journal.write("stop", server=settings.server)
        _close(server)

    return run


def lookup_program(settings: LookupSettings) -> Program:
    """Return the program of one lookup server."""

    async def run(stop: asyncio.Event) -> None:
        journal = Journal(settings.journal, suspend_aware_now)
        identity = new_identity(settings.server, settings.pool, settings.zone)
        lookup = Lookup(identity, settings.profile, journal, suspend_aware_now, settings.seed)
        server = listen(lookup_server.make_application(lookup), settings.address)
        _journal_start(lookup, 0)
        for behaviour in settings.behaviours:
            lookup.add_behaviour(behaviour)
        await stop.wait()
        journal.write("stop", server=settings.server)
        _close(server)

    return run


def store_program(settings: StoreSettings) -> Program:
    """Return the program of one weight store."""

    async def run(stop: asyncio.Event) -> None:
        journal = Journal(settings.journal, suspend_aware_now)
        store = weight_store.WeightStore(
            settings.store,
            settings.bytes_per_second,
            settings.max_concurrent_pulls,
            journal,
            suspend_aware_now,
        )
        server = listen(weight_store.make_application(store), settings.address)
        journal.write(
            "start",
            store=settings.store,
            bytes_per_second=settings.bytes_per_second,
            max_concurrent_pulls=settings.max_concurrent_pulls,
        )
        await stop.wait()
        _close(server)

    return run


def platform_program(settings: PlatformSettings) -> Program:
    """Return the program of the platform."""

    async def run(stop: asyncio.Event) -> None:
        journal = Journal(settings.journal, suspend_aware_now)
        platform = platform_server.Platform(settings, journal, suspend_aware_now)
        server = listen(platform_server.make_application(platform), settings.address)
        journal.write("start", servers=len(settings.servers), nodes=len(settings.nodes))
        await platform.poll_until(stop)
        _close(server)

    return run


def callers_program(settings: CallersSettings) -> Program:
    """Return the program that drives callers; it ends when every request has finished."""
    spec = load_load_spec(settings.load)
    documents = load_intent(settings.deployment, load_deployment(settings.deployment))
    planner = Planner(spec, documents, settings.seed)

    async def run(stop: asyncio.Event) -> None:
        journal = Journal(settings.journal, suspend_aware_now)
        client = CallerClient(suspend_aware_now, settings.address_map)
        callers = Callers(settings, spec, planner, client, journal, suspend_aware_now)
        try:
            await callers.run(stop)
        finally:
            _write_summary(settings.summary, callers.summary.to_json())

    return run


def operators_program(settings: OperatorsSettings) -> Program:
    """Return the program that drives operators; it ends when every order has a final result."""
    script = load_script(settings.script)

    async def run(stop: asyncio.Event) -> None:
        journal = Journal(settings.journal, suspend_aware_now)
        client = HttpCoreClient(settings.address_map)
        operators = Operators(settings, script, client, journal, suspend_aware_now)
        try:
            await operators.run(stop)
        finally:
            _write_summary(settings.summary, operators.summary())

    return run


def _write_summary(path: str, summary: dict[str, Any]) -> None:
    Path(path).write_bytes(orjson.dumps(summary, option=orjson.OPT_INDENT_2))


def _journal_start(back_end: BackEnd, memory_bytes: int) -> None:
    identity = back_end.identity
    back_end.journal.write(
        "start",
        server=identity.server,
        incarnation=identity.incarnation,
        zone=identity.zone,
        pool=identity.pool,
        memory_bytes=memory_bytes,
    )


def _close(server: HTTPServer) -> None:
    server.stop()
