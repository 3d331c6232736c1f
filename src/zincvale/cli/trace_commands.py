"""`zincvale trace`: ask the nodes for kept traces and show them."""

from __future__ import annotations

import asyncio
import time
import urllib.parse
from typing import Any

import attrs
import orjson
from fire.decorators import SetParseFn
from tornado.httpclient import AsyncHTTPClient, HTTPError

from zincvale.model.errors import InvalidInputError, NotFoundError, UnavailableError, ZincvaleError
from zincvale.tracing.api.explain import explain
from zincvale.tracing.api.render import render_table, render_tree

REQUEST_TIMEOUT_S = 5.0
"""Time limit for connecting to one daemon and, separately, for the whole request."""
DEFAULT_SINCE = "15m"
"""Age of the oldest traces that `find` lists by default."""
SECONDS_BY_UNIT = {"s": 1, "m": 60, "h": 3600, "d": 86_400}
NOT_FOUND_STATUS = 404
INVALID_STATUS = 422
JSON_OUTPUT = "json"
TEXT_OUTPUT = "text"


@attrs.define
class NodeResponses:
    """Responses of the nodes to one query.

    Attributes
    ----------
    bodies : decoded bodies of the responses with status 200.
    not_found : error message by node, for nodes that do not have what was asked for.
    failures : reason by node, for nodes that could not be reached or failed to respond.
    """

    bodies: list[dict[str, Any]] = attrs.field(factory=list)
    not_found: dict[str, str] = attrs.field(factory=dict)
    failures: dict[str, str] = attrs.field(factory=dict)

    def require_any(self) -> None:
        """Raise `UnavailableError` when every node failed to respond."""
        if not self.bodies and not self.not_found:
            reasons = "; ".join(f"{node}: {reason}" for node, reason in self.failures.items())
            raise UnavailableError(f"no node responded ({reasons})", "check --nodes or --core")

    def incompleteness_warning(self) -> str:
        """Return a warning that names the nodes that failed to respond, or an empty string."""
        if not self.failures:
            return ""
        return f"no response from {', '.join(sorted(self.failures))}: the result may be incomplete"


class TraceCommands:
    """Find and explain kept traces.

    Name the nodes with `--nodes ip:port,ip:port`, or a core with `--core ip:port` that knows them.
    Every command takes `--output json`.
    """

    @SetParseFn(str, "route", "server", "outcome", "policy", "name", "since", "nodes", "core")
    def find(
        self,
        route: str = "",
        server: str = "",
        outcome: str = "",
        policy: str = "",
        name: str = "",
        since: str = DEFAULT_SINCE,
        limit: int = 100,
        nodes: str = "",
        core: str = "",
        output: str = TEXT_OUTPUT,
    ) -> str:
        """List kept traces, newest first.

        Args:
            route: name of a route.
            server: a server that was tried.
            outcome: answered, refused, unknown or interrupted.
            policy: errors-always, entry-lost, slow-always or random-baseline.
            name: request or order.
            since: an age such as 90s, 15m, 2h or 1d.
            limit: most traces listed.
            nodes: api addresses to ask, with commas between them.
            core: api address of a core that knows the nodes.
            output: text or json.
        """
        arguments = {
            "name": name,
            "route": route,
            "server": server,
            "outcome": outcome,
            "policy": policy,
            "since": f"{time.time() - parse_age_s(since):.3f}",
            "limit": str(limit),
        }
        query = urllib.parse.urlencode({name: value for name, value in arguments.items() if value})
        responses = _query_nodes(nodes, core, f"/v1/traces?{query}")
        responses.require_any()
        merged = merge_search_results(responses.bodies, limit)
        if output == JSON_OUTPUT:
            return _json_text({**merged, "silent": responses.failures})
        return _join_lines(
            render_table(merged["traces"]),
            _estimate_line(merged),
            responses.incompleteness_warning(),
        )

    @SetParseFn(str, "trace_id", "nodes", "core")
    def show(
        self,
        trace_id: str,
        nodes: str = "",
        core: str = "",
        output: str = TEXT_OUTPUT,
    ) -> str:
        """Show one trace as a tree with policy reasons, held time, retries and orders."""
        responses = _query_nodes(
            nodes, core, f"/v1/traces/{urllib.parse.quote(str(trace_id), safe='')}"
        )
        trace = most_complete_copy(responses.bodies)
        if trace is None:
            raise _not_found(f"trace {trace_id}", responses)
        return _json_text(trace) if output == JSON_OUTPUT else render_tree(trace)

    @SetParseFn(str, "request_id", "nodes", "core")
    def why(
        self,
        request_id: str,
        nodes: str = "",
        core: str = "",
        output: str = TEXT_OUTPUT,
    ) -> str:
        """Tell in plain words why a request landed where it did, for each of its attempts.

        Also takes the identifier of an order.
        """
        target = f"/v1/requests/{urllib.parse.quote(str(request_id), safe='')}/trace"
        responses = _query_nodes(nodes, core, target)
        traces = merge_attempts(responses.bodies)
        if not traces:
            raise _not_found(f"trace of request {request_id}", responses)
        if output == JSON_OUTPUT:
            return _json_text({"traces": traces, "silent": responses.failures})
        return _join_lines(
            "\n\n".join(explain(trace) for trace in traces), responses.incompleteness_warning()
        )


def parse_age_s(text: str) -> float:
    """Return an age in seconds, given as `90s`, `15m`, `2h` or `1d`. Raises `InvalidInputError`."""
    text = str(text)
    factor = SECONDS_BY_UNIT.get(text[-1:], 0)
    number = text[:-1] if factor else text
    try:
        return float(number) * (factor or 1)
    except ValueError as error:
        raise InvalidInputError(
            f"age {text!r} is not a duration", "write 90s, 15m, 2h or 1d"
        ) from error


def merge_search_results(bodies: list[dict[str, Any]], limit: int) -> dict[str, Any]:
    """Merge the nodes' results of a search: each trace once, newest first."""
    by_trace: dict[str, dict[str, Any]] = {}
    for body in bodies:
        for trace in body["traces"]:
            previous = by_trace.get(trace["trace_id"])
            if previous is None or trace["holder"] == body["member"]:
                by_trace[trace["trace_id"]] = trace
    traces = sorted(by_trace.values(), key=lambda trace: float(trace["start"]), reverse=True)
    estimates = [body["estimate"] for body in bodies]
    total = sum(estimate["total"] for estimate in estimates)
    weighted_ms = sum(estimate["mean_ms"] * estimate["total"] for estimate in estimates)
    return {
        "traces": traces[:limit],
        "estimate": {
            "kept": sum(estimate["kept"] for estimate in estimates),
            "total": total,
            "errors": sum(estimate["errors"] for estimate in estimates),
            "mean_ms": weighted_ms / total if total else 0.0,
        },
        "complete_since": _latest_by_name([body["complete_since"] for body in bodies]),
    }


def most_complete_copy(bodies: list[dict[str, Any]]) -> dict[str, Any] | None:
    """Return the most complete copy of a trace: a kept one if any, then by spans; or None."""
    return max(
        bodies, key=lambda trace: (trace["state"] == "kept", len(trace["spans"])), default=None
    )


def merge_attempts(bodies: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the traces of a request's attempts from all nodes, each once, oldest first."""
    copies_by_trace: dict[str, list[dict[str, Any]]] = {}
    for body in bodies:
        for trace in body["traces"]:
            copies_by_trace.setdefault(trace["trace_id"], []).append(trace)
    traces = [most_complete_copy(copies) for copies in copies_by_trace.values()]
    return sorted((trace for trace in traces if trace), key=_start_of)


def _start_of(trace: dict[str, Any]) -> float:
    return min((float(span["start"]) for span in trace["spans"]), default=0.0)


def _latest_by_name(tables: list[dict[str, float]]) -> dict[str, float]:
    latest: dict[str, float] = {}
    for table in tables:
        for name, since in table.items():
            latest[name] = max(since, latest.get(name, 0.0))
    return latest


def _estimate_line(merged: dict[str, Any]) -> str:
    estimate = merged["estimate"]
    return (
        f"{estimate['kept']:,} matching traces kept; they stand for about"
        f" {estimate['total']:,.0f} requests, {estimate['errors']:,.0f} of them with errors,"
        f" mean {estimate['mean_ms']:,.1f} ms"
    )


def _not_found(what: str, responses: NodeResponses) -> ZincvaleError:
    responses.require_any()
    not_kept = next((text for text in responses.not_found.values() if "not kept" in text), "")
    if not_kept:
        return NotFoundError(
            not_kept, "only errors, slow requests and a share of the others are kept"
        )
    remedy = (
        responses.incompleteness_warning()
        or "it was not sampled, not kept, or its retention is over"
    )
    return NotFoundError(f"no node keeps a {what}", remedy)


def _query_nodes(nodes: str, core: str, target: str) -> NodeResponses:
    return asyncio.run(_query_all(nodes, core, target))


async def _query_all(nodes: str, core: str, target: str) -> NodeResponses:
    addresses = _addresses(nodes) or await _node_addresses_from(core)
    responses = NodeResponses()
    await asyncio.gather(*[_query_node(address, target, responses) for address in addresses])
    return responses


def _addresses(nodes: str) -> list[str]:
    return [part.strip() for part in nodes.split(",") if part.strip()]


async def _node_addresses_from(core: str) -> list[str]:
    if not core:
        raise InvalidInputError("no node to ask", "name --nodes ip:port,... or --core ip:port")
    try:
        response = await _fetch(core, "/v1/members")
    except (OSError, HTTPError) as error:
        raise UnavailableError(
            f"core {core} does not respond: {error}", "name another core"
        ) from error
    members = orjson.loads(response)["members"]
    return [member["api_address"] for member in members if member["role"] == "node"]


async def _query_node(address: str, target: str, responses: NodeResponses) -> None:
    try:
        responses.bodies.append(orjson.loads(await _fetch(address, target)))
    except HTTPError as error:
        problem = _problem_of(error)
        if error.code == INVALID_STATUS:
            raise InvalidInputError(problem, "correct the argument") from error
        (responses.not_found if error.code == NOT_FOUND_STATUS else responses.failures)[address] = (
            problem
        )
    except OSError as error:
        responses.failures[address] = str(error)


async def _fetch(address: str, target: str) -> bytes:
    AsyncHTTPClient.configure("tornado.curl_httpclient.CurlAsyncHTTPClient")
    response = await AsyncHTTPClient().fetch(
        f"http://{address}{target}",
        connect_timeout=REQUEST_TIMEOUT_S,
        request_timeout=REQUEST_TIMEOUT_S,
    )
    return bytes(response.body)


def _problem_of(error: HTTPError) -> str:
    if error.response is None or not error.response.body:
        return str(error)
    try:
        return str(orjson.loads(error.response.body)["problem"])
    except (ValueError, KeyError, TypeError):
        return str(error)


def _json_text(value: Any) -> str:
    return orjson.dumps(value, option=orjson.OPT_INDENT_2).decode()


def _join_lines(*parts: str) -> str:
    return "\n".join(part for part in parts if part)
