"""Measures the memory per row and the cost per change at several sizes of the state."""

from __future__ import annotations

import gc
import json
import time
import tracemalloc
from collections.abc import Callable

import attrs
import numpy

from zincvale.controlplane.directory.row_codec import encode_server_row
from zincvale.controlplane.intent.reducer import IntentReducer
from zincvale.controlplane.intent.row_codec import IntentDecoder, encode_spec
from zincvale.model.control_tables import ServerRow
from zincvale.model.identifiers import AdapterName, Address, ModelName, PoolName, ServerId, ZoneName
from zincvale.model.resources import PoolKind

ADAPTER_COUNTS = (1_000, 10_000, 56_000)
"""Numbers of adapters at which the intent is measured."""
MODELS = 830
SERVER_COUNTS = (100, 1_000, 10_000)
"""Numbers of servers at which the directory is measured."""
MODELS_PER_SERVER = 4
ADAPTERS_PER_SERVER = 8
"""Models and adapters listed in each server's row."""
REPEATS = 5
"""Runs of each timed action, of which the fastest counts."""
MS_PER_S = 1000.0


@attrs.frozen
class IntentPoint:
    """Size and cost of an intent with `adapters` adapters and `MODELS` models.

    Attributes
    ----------
    decode_ms : time to decode all rows.
    reduce_one_ms : time to check one change.
    apply_one_ms : time to update the decoded rows after one change.
    """

    adapters: int
    content_bytes: int
    decoded_bytes: int
    decode_ms: float
    reduce_one_ms: float
    apply_one_ms: float


@attrs.frozen
class DirectoryPoint:
    """Size of a directory with `servers` servers."""

    servers: int
    content_bytes: int


@attrs.frozen
class StateSlopes:
    """Measured points, and the slopes of the lines fitted through them.

    Attributes
    ----------
    bytes_per_adapter : memory of a row's content and of its decoded spec.
    """

    intent: list[IntentPoint]
    directory: list[DirectoryPoint]
    bytes_per_adapter: float
    content_bytes_per_adapter: float
    content_bytes_per_server: float


def measure_state(progress: Callable[[str], None]) -> StateSlopes:
    """Measure every size and fit the slopes."""
    intents = [_intent_point(count) for count in ADAPTER_COUNTS]
    directories = [_directory_point(count) for count in SERVER_COUNTS]
    slopes = StateSlopes(
        intents,
        directories,
        _slope([(p.adapters, p.content_bytes + p.decoded_bytes) for p in intents]),
        _slope([(p.adapters, p.content_bytes) for p in intents]),
        _slope([(p.servers, p.content_bytes) for p in directories]),
    )
    progress(
        f"intent: {slopes.bytes_per_adapter:.0f} B in memory per adapter,"
        f" directory: {slopes.content_bytes_per_server:.0f} B per server"
    )
    return slopes


def intent_rows(adapters: int) -> dict[str, bytes]:
    """Return an intent of `MODELS` models and `adapters` adapters."""
    rows = {
        "Zone/zone-a": encode_spec({}),
        "Store/store-a": encode_spec({"address": "127.0.0.1:1"}),
        "Pool/pool-a": encode_spec({}),
    }
    for number in range(MODELS):
        spec = {"weight_bytes": 10**9, "store": "store-a", "pool": "pool-a"}
        rows[f"Model/model-{number}"] = encode_spec(spec)
    for number in range(adapters):
        spec = {
            "base_model": f"model-{number % MODELS}",
            "weight_bytes": 10**7,
            "store": "store-a",
        }
        rows[f"Adapter/adapter-{number}"] = encode_spec(spec)
    return rows


def _intent_point(adapters: int) -> IntentPoint:
    gc.collect()
    tracemalloc.start()
    rows = intent_rows(adapters)
    content_bytes = tracemalloc.get_traced_memory()[0]
    decoder = IntentDecoder()
    decoder.update(1, rows)
    decoded_bytes = tracemalloc.get_traced_memory()[0] - content_bytes
    tracemalloc.stop()
    change = _one_change()
    changed = dict(rows)
    changed["Adapter/adapter-0"] = encode_spec(
        {"base_model": "model-1", "weight_bytes": 10**7 + 1, "store": "store-a"}
    )
    return IntentPoint(
        adapters=adapters,
        content_bytes=content_bytes,
        decoded_bytes=decoded_bytes,
        decode_ms=_timed_ms(lambda: IntentDecoder().update(1, rows)),
        reduce_one_ms=_timed_ms(lambda: IntentReducer()(rows, change)),
        apply_one_ms=_timed_ms(lambda: decoder.update(2, changed)),
    )


def _one_change() -> bytes:
    resource = {"kind": "Adapter", "name": "adapter-0", "spec": {"weight_bytes": 10**7 + 1}}
    return json.dumps({"mode": "merge", "resources": [resource]}).encode()


def _directory_point(servers: int) -> DirectoryPoint:
    total = 0
    for number in range(servers):
        row = ServerRow(
            server=ServerId(f"server-{number}"),
            address=Address("10.10.10.10:8000"),
            pool=PoolName("pool-a"),
            zone=ZoneName("zone-a"),
            kind=PoolKind.LANGUAGE_MODEL,
            incarnation="0123456789abcdef",
            memory_bytes=640 * 10**9,
            used_bytes=500 * 10**9,
            models=frozenset(ModelName(f"model-{n}") for n in range(MODELS_PER_SERVER)),
            adapters=frozenset(AdapterName(f"adapter-{n}") for n in range(ADAPTERS_PER_SERVER)),
            running=20,
            max_running=64,
        )
        total += len(row.server) + len(encode_server_row(row))
    return DirectoryPoint(servers, total)


def _timed_ms(action: Callable[[], object]) -> float:
    times = []
    for _ in range(REPEATS):
        begin = time.perf_counter()
        action()
        times.append(time.perf_counter() - begin)
    return min(times) * MS_PER_S


def _slope(points: list[tuple[int, int]]) -> float:
    counts, sizes = zip(*points, strict=True)
    return float(numpy.polyfit(counts, sizes, 1)[0])
