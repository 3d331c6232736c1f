"""Parsing of callers' requests: identifier, deadline, resume position and body."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random
from typing import Any

import attrs
import orjson
import xxhash

from zincvale.model.errors import InvalidInputError, MalformedBodyError
from zincvale.model.identifiers import AdapterName, ModelName, RequestId, RouteName
from zincvale.model.outcomes import DEADLINE_HEADER, LAST_EVENT_ID_HEADER, REQUEST_ID_HEADER
from zincvale.model.resources import PoolKind, RouteSpec

MAX_REQUEST_ID_LENGTH = 128
"""Limit in characters: every claim stores its identifier, and the table of claims is bounded by
rows, not by bytes."""
MAX_TOKENS_LIMIT = 1_000_000
DEFAULT_MAX_TOKENS = 256
CHARACTERS_PER_TOKEN = 4
"""Approximate length of a token, used to estimate work and never to limit it."""


@attrs.frozen
class InferenceRequest:
    """The content of a request that a back end processes.

    `model`, `adapter`, `prompt` and `max_tokens` are set for language models, `key` for lookups.
    """

    model: ModelName = ModelName("")
    adapter: AdapterName | None = None
    prompt: str = ""
    max_tokens: int = 0
    stream: bool = False
    key: str = ""

    @property
    def prompt_tokens(self) -> int:
        """Estimated length of the prompt in tokens."""
        return len(self.prompt) // CHARACTERS_PER_TOKEN + 1


@attrs.frozen
class CallerRequest:
    """One request as this node received it."""

    request_id: RequestId
    caller_named_it: bool
    """The caller chose the identifier, so earlier attempts may exist at other nodes."""
    route: RouteName
    digest: str
    inference_request: InferenceRequest
    received_at: float
    deadline_at: float
    resume_after: int | None = None
    """Event number after which a stream is resumed; None for a new request."""

    @property
    def question(self) -> InferenceRequest:
        """The inference request, under the name that third-party routing policies read."""
        return self.inference_request


def generate_request_id(random: Random) -> RequestId:
    """Return a new random identifier for a request whose caller gave none."""
    return RequestId(f"zv-{random.getrandbits(96):024x}")


def read_request_id(headers: Mapping[str, str]) -> RequestId | None:
    """Return the caller's request identifier, None when absent; raises `InvalidInputError`."""
    text = headers.get(REQUEST_ID_HEADER)
    if not text:
        return None
    if len(text) > MAX_REQUEST_ID_LENGTH or not text.isascii() or not text.isprintable():
        raise InvalidInputError(
            f"{REQUEST_ID_HEADER} is not up to {MAX_REQUEST_ID_LENGTH} printable ASCII characters",
            "send a short identifier such as a UUID",
        )
    return RequestId(text)


def read_deadline_s(headers: Mapping[str, str], route: RouteSpec) -> float:
    """Return the caller's deadline in seconds, at most the route's; raises `InvalidInputError`."""
    text = headers.get(DEADLINE_HEADER)
    if not text:
        return route.deadline_ms / 1000
    if not text.isascii() or not text.isdigit():
        raise InvalidInputError(
            f"{DEADLINE_HEADER} is {text!r}, not a number of milliseconds",
            "send a whole number such as 2500",
        )
    return min(int(text), route.deadline_ms) / 1000


def read_resume_after(headers: Mapping[str, str]) -> int | None:
    """Return the event number to resume after, None when absent; raises `InvalidInputError`."""
    text = headers.get(LAST_EVENT_ID_HEADER)
    if not text:
        return None
    if not text.isascii() or not text.isdigit():
        raise InvalidInputError(
            f"{LAST_EVENT_ID_HEADER} is {text!r}, not an event number",
            "send the id of the last event received",
        )
    return int(text)


def read_inference_request(body: bytes, route: RouteSpec, kind: PoolKind) -> InferenceRequest:
    """Return the body's inference request; raises `MalformedBodyError` or `InvalidInputError`."""
    try:
        data = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise MalformedBodyError(f"the body is not JSON: {error}", "send a JSON object") from error
    if not isinstance(data, dict):
        raise MalformedBodyError("the body is not a JSON object", "send a JSON object")
    if kind is PoolKind.LOOKUP:
        return InferenceRequest(key=_read_string(data, "key"))
    return _read_generation(data, route)


def request_digest(route: RouteName, body: bytes) -> str:
    """Return the digest that distinguishes different requests with the same identifier."""
    return xxhash.xxh3_128_hexdigest(route.encode() + b"\0" + body)


def _read_generation(data: dict[str, Any], route: RouteSpec) -> InferenceRequest:
    model = _read_model(data, route)
    adapter = data.get("adapter")
    if adapter is not None and not isinstance(adapter, str):
        raise InvalidInputError(
            "field 'adapter' is not a string", "send the name of an adapter or omit the field"
        )
    stream = data.get("stream", route.stream)
    if not isinstance(stream, bool):
        raise InvalidInputError("field 'stream' is not true or false", "correct the value")
    return InferenceRequest(
        model=ModelName(model),
        adapter=AdapterName(adapter) if adapter else None,
        prompt=_read_string(data, "prompt"),
        max_tokens=_read_max_tokens(data),
        stream=stream,
    )


def _read_model(data: dict[str, Any], route: RouteSpec) -> str:
    if "model" not in data and len(route.models) == 1:
        return route.models[0]
    model = _read_string(data, "model")
    if route.models and model not in route.models:
        raise InvalidInputError(
            f"model {model!r} is not served on {route.path}",
            f"request one of {', '.join(route.models)}",
        )
    return model


def _read_max_tokens(data: dict[str, Any]) -> int:
    value = data.get("max_tokens", DEFAULT_MAX_TOKENS)
    if isinstance(value, bool) or not isinstance(value, int):
        raise InvalidInputError("field 'max_tokens' is not a whole number", "correct the value")
    if not 0 < value <= MAX_TOKENS_LIMIT:
        raise InvalidInputError(
            f"field 'max_tokens' is {value}", f"send a number from 1 to {MAX_TOKENS_LIMIT}"
        )
    return value


def _read_string(data: dict[str, Any], name: str) -> str:
    value = data.get(name)
    if value is None:
        raise InvalidInputError(f"field {name!r} is missing", "add the field")
    if not isinstance(value, str):
        raise InvalidInputError(f"field {name!r} is not a string", "correct the value")
    return value
