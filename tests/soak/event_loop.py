"""Runs a coroutine on an event loop of its own, and closes what it left open before the loop."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


def run_to_end(coroutine: Coroutine[Any, Any, T]) -> T:
    """Return the result of a coroutine.

    Stream writers that it forgot without closing them are collected while the loop can still close
    their connections. Later they would raise wherever the collector happens to run; in pytest's
    summary, which parses modules, CPython 3.11.6 ended with a SystemError of its parser then.
    """

    async def run() -> T:
        try:
            return await coroutine
        finally:
            gc.collect()
            await asyncio.sleep(0)

    return asyncio.run(run())
