"""KV cache of shared prompt prefixes: blocks of tokens, least recently used first out.

A block is named by the hash of everything up to its end, so two prompts share exactly the blocks of
their common prefix. Blocks of running requests are pinned; blocks nobody uses stay cached until the
memory is needed.
"""

from __future__ import annotations

from collections import OrderedDict

import attrs
import xxhash

BlockName = int


@attrs.frozen
class KvAllocation:
    """The blocks that are pinned for one running request.

    Attributes
    ----------
    named : blocks of its prompt, shareable, in order.
    private_blocks : blocks for the rest of the prompt and for what is generated.
    cached_tokens : leading tokens that were found in the cache.
    """

    named: list[BlockName]
    private_blocks: int
    cached_tokens: int


class KvCache:
    """Block-wise prefix cache.

    Parameters
    ----------
    block_tokens : tokens in one block.
    bytes_per_token : memory one token takes.
    """

    def __init__(self, block_tokens: int, bytes_per_token: int) -> None:
        self._block_tokens = block_tokens
        self._block_bytes = block_tokens * bytes_per_token
        self._users: dict[BlockName, int] = {}
        self._idle: OrderedDict[BlockName, None] = OrderedDict()
        self._private_blocks = 0
        self._capacity_blocks = 0

    def set_capacity(self, capacity_bytes: int) -> None:
        """Change the capacity, evicting idle blocks that no longer fit."""
        self._capacity_blocks = max(0, capacity_bytes) // self._block_bytes
        self._evict_down_to(self._capacity_blocks)

    def used_bytes(self) -> int:
        """Return the bytes of all blocks, idle ones included."""
        return self._used_blocks() * self._block_bytes

    def pinned_bytes(self) -> int:
        """Return the bytes of blocks that are pinned for running requests."""
        return (len(self._users) + self._private_blocks) * self._block_bytes

    def fits_ever(self, tokens: int) -> bool:
        """Return whether a request of `tokens` could run in an empty cache."""
        return self._blocks_for(tokens) <= self._capacity_blocks

    def allocate(
        self, owner: str, prompt_tokens: list[str], total_tokens: int
    ) -> KvAllocation | None:
        """Pin the blocks of a request; None when the capacity does not allow it now.

        Parameters
        ----------
        owner : what a cached block belongs to: model and adapter.
        prompt_tokens : the prompt, token by token.
        total_tokens : prompt and longest response together.
        """
        named = self._block_names(owner, prompt_tokens)
        cached = self._leading_cached(named)
        private = self._blocks_for(total_tokens) - len(named)
        new_blocks = len(named) - cached + private
        idle_reused = sum(1 for name in named[:cached] if name in self._idle)
        pinned = len(self._users) + self._private_blocks + idle_reused
        if pinned + new_blocks > self._capacity_blocks:
            return None
        for name in named:
            self._pin(name)
        self._private_blocks += private
        self._evict_down_to(self._capacity_blocks)
        return KvAllocation(named, private, cached * self._block_tokens)

    def release(self, allocation: KvAllocation, computed: bool) -> None:
        """Unpin a request's blocks; its prompt stays cached when it was `computed`."""
        self._private_blocks -= allocation.private_blocks
        for name in allocation.named:
            self._unpin(name, computed)

    def _block_names(self, owner: str, tokens: list[str]) -> list[BlockName]:
        seed = xxhash.xxh3_64_intdigest(owner.encode())
        names = []
        size = self._block_tokens
        for start in range(0, len(tokens) - size + 1, size):
            block = " ".join(tokens[start : start + size])
            seed = xxhash.xxh3_64_intdigest(block.encode(), seed=seed)
            names.append(seed)
        return names

    def _leading_cached(self, names: list[BlockName]) -> int:
        for position, name in enumerate(names):
            if name not in self._users and name not in self._idle:
                return position
        return len(names)

    def _pin(self, name: BlockName) -> None:
        self._idle.pop(name, None)
        self._users[name] = self._users.get(name, 0) + 1

    def _unpin(self, name: BlockName, keep: bool) -> None:
        users = self._users[name] - 1
        if users:
            self._users[name] = users
            return
        del self._users[name]
        if keep:
            self._idle[name] = None

    def _evict_down_to(self, blocks: int) -> None:
        while self._idle and self._used_blocks() > blocks:
            self._idle.popitem(last=False)

    def _used_blocks(self) -> int:
        return len(self._users) + len(self._idle) + self._private_blocks

    def _blocks_for(self, tokens: int) -> int:
        return -(-tokens // self._block_tokens)
