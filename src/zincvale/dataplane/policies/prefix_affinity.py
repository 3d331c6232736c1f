"""KV prefix affinity: requests that share a prompt prefix are sent where the prefix is cached.

Two sources tell where that is. For each block of the prompts that this node sent recently, it
remembers the server. For a prefix that it has not sent, the server follows from a rendezvous hash
of the model, adapter and first block, so that all nodes agree without messages. Either is used only
while the server is not much busier than the average (consistent hashing with bounded loads).
"""

from __future__ import annotations

from collections import OrderedDict

import xxhash

from zincvale.dataplane.inference.requests import CHARACTERS_PER_TOKEN, InferenceRequest
from zincvale.dataplane.inference.routing_state import ServerState
from zincvale.dataplane.policies.base import Query, Scorer
from zincvale.model.identifiers import ServerId

BLOCK_CHARACTERS = 256
"""Size of the blocks in which prefixes are compared; part of the hash input, so all nodes need the
same value."""
MAX_BLOCKS = 64
"""How many blocks of a prompt are compared, from its beginning; bounds the hashing per request."""
MAX_REMEMBERED_BLOCKS = 50_000
"""How many blocks each pool's scorer remembers; bounds its memory. The oldest are forgotten."""
LOAD_BOUND = 1.25
LOAD_ALLOWANCE_TOKENS = 512.0
"""Bounded load: a nominee may have LOAD_BOUND times the average outstanding work, plus this many
tokens."""


class PrefixAffinityScorer(Scorer):
    """Saves prefill work: the cost is minus the prompt tokens that are expected to be cached."""

    name = "prefix-affinity"

    def __init__(self) -> None:
        self._server_by_block: OrderedDict[int, ServerId] = OrderedDict()
        self._cached_keys: tuple[InferenceRequest | None, list[int]] = (None, [])

    def nominate(self, query: Query, servers: list[ServerState]) -> ServerState | None:
        """Return the server that has the longest remembered prefix, else the rendezvous server."""
        keys = self._keys(query.question)
        if not keys:
            return None
        by_name = {server.row.server: server for server in servers}
        bound = _load_bound(servers)
        for key in reversed(keys):
            server = by_name.get(self._server_by_block.get(key, ServerId("")))
            if server is not None and server.outstanding_tokens <= bound:
                return server
        return self._rendezvous_server(keys[0], servers, bound)

    def cost(self, query: Query, server: ServerState) -> float:
        """Return minus the tokens of the longest prefix remembered for this server."""
        keys = self._keys(query.question)
        name = server.row.server
        for position in range(len(keys) - 1, -1, -1):
            if self._server_by_block.get(keys[position]) == name:
                return -float((position + 1) * BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN)
        return 0.0

    def on_chosen(self, query: Query, server: ServerState) -> None:
        """Remember that the prompt's blocks are now cached at this server."""
        server_by_block = self._server_by_block
        for key in self._keys(query.question):
            server_by_block[key] = server.row.server
            server_by_block.move_to_end(key)
        while len(server_by_block) > MAX_REMEMBERED_BLOCKS:
            server_by_block.popitem(last=False)

    def _rendezvous_server(
        self, key: int, servers: list[ServerState], bound: float
    ) -> ServerState | None:
        best: ServerState | None = None
        best_weight = -1
        for server in servers:
            if server.outstanding_tokens > bound:
                continue
            weight = xxhash.xxh3_64_intdigest(server.row.server.encode(), seed=key)
            if weight > best_weight:
                best, best_weight = server, weight
        return best

    def _keys(self, question: InferenceRequest) -> list[int]:
        cached_for, keys = self._cached_keys
        if cached_for is question:
            return keys
        keys = prefix_keys(question)
        self._cached_keys = (question, keys)
        return keys


def prefix_keys(question: InferenceRequest) -> list[int]:
    """Return one hash per complete block, chained from the model, adapter and earlier blocks."""
    prompt = question.prompt.encode()
    count = min(MAX_BLOCKS, len(prompt) // BLOCK_CHARACTERS)
    namespace = f"{question.model}\0{question.adapter or ''}"
    key = xxhash.xxh3_64_intdigest(namespace.encode())
    keys = []
    for index in range(count):
        block = prompt[index * BLOCK_CHARACTERS : (index + 1) * BLOCK_CHARACTERS]
        key = xxhash.xxh3_64_intdigest(block, seed=key)
        keys.append(key)
    return keys


def _load_bound(servers: list[ServerState]) -> float:
    total = sum(server.outstanding_tokens for server in servers)
    return total / max(1, len(servers)) * LOAD_BOUND + LOAD_ALLOWANCE_TOKENS
