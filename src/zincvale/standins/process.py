"""Runs a stand-in process until its time limit, SIGTERM or SIGINT, or the end of its parent."""

from __future__ import annotations

import asyncio
import ctypes
import os
import signal
from collections.abc import Awaitable, Callable

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from zincvale.model.errors import InvalidInputError, StartupError
from zincvale.standins.settings import loopback_endpoint

PR_SET_PDEATHSIG = 1
LISTEN_BACKLOG = 1024
PARENT_POLL_S = 0.5


def listen(application: Application, address: str) -> HTTPServer:
    """Serve `application` on a loopback address; raises `StartupError`."""
    host, port = loopback_endpoint(address)
    try:
        sockets = bind_sockets(port, address=host, backlog=LISTEN_BACKLOG)
    except OSError as error:
        raise StartupError(
            f"cannot listen on {address}: {error.strerror}",
            "free the address or choose another one",
        ) from error
    server = HTTPServer(application)
    server.add_sockets(sockets)
    return server


def check_max_seconds(max_seconds: float) -> None:
    """Raise `InvalidInputError` unless `max_seconds` is positive, so that the process ends."""
    if max_seconds <= 0:
        raise InvalidInputError(
            f"max-seconds is {max_seconds}", "give a positive number of seconds"
        )


def run_until_stopped(
    program: Callable[[asyncio.Event], Awaitable[None]], max_seconds: float
) -> None:
    """Run `program` with an event that is set when the process should stop.

    The event is set by SIGTERM or SIGINT, after `max_seconds`, and when the parent process
    has ended. The kernel also kills the process when its parent ends, which covers a process
    that is frozen at that time.
    """
    check_max_seconds(max_seconds)
    die_with_parent()
    asyncio.run(_run(program, max_seconds))


async def _run(program: Callable[[asyncio.Event], Awaitable[None]], max_seconds: float) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.call_later(max_seconds, stop.set)
    watch_task = asyncio.ensure_future(_watch_parent(stop, os.getppid()))
    try:
        await program(stop)
    finally:
        watch_task.cancel()


async def _watch_parent(stop: asyncio.Event, parent: int) -> None:
    while os.getppid() == parent:
        await asyncio.sleep(PARENT_POLL_S)
    stop.set()


def die_with_parent() -> None:
    """Ask the kernel to kill this process when its parent ends, even if this process is frozen."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
