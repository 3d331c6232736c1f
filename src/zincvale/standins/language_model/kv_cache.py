"""KV cache of shared prompt prefixes: blocks of tokens with least-recently-used eviction.

A block is identified by the hash of the prompt up to its end, so two prompts share exactly the
blocks of their common prefix. Blocks of running requests are pinned; unused blocks stay cached
until their memory is needed.
"""

from __future__ import annotations

from collections import OrderedDict

import attrs
import xxhash

BlockHash = int


@attrs.frozen
class KvAllocation:
    """The blocks that are pinned for one running request.

    Attributes
    ----------
    prompt_blocks : the full blocks of its prompt, in order; other requests may share them.
    private_blocks : number of blocks for the rest of the prompt and for the response.
    cached_tokens : leading prompt tokens that were found in the cache.
    """

    prompt_blocks: list[BlockHash]
    private_blocks: int
    cached_tokens: int


class KvCache:
    """Prefix cache that allocates memory in blocks.

    Parameters
    ----------
    block_tokens : tokens per block.
    bytes_per_token : memory that one token takes.
    """

    def __init__(self, block_tokens: int, bytes_per_token: int) -> None:
        self._block_tokens = block_tokens
        self._block_bytes = block_tokens * bytes_per_token
        self._pins_by_block: dict[BlockHash, int] = {}
        self._idle: OrderedDict[BlockHash, None] = OrderedDict()
        self._private_blocks = 0
        self._capacity_blocks = 0

    def set_capacity(self, capacity_bytes: int) -> None:
        """Change the capacity, and evict idle blocks that no longer fit."""
        self._capacity_blocks = max(0, capacity_bytes) // self._block_bytes
        self._evict_down_to(self._capacity_blocks)

    def used_bytes(self) -> int:
        """Return the size of all blocks, including idle ones."""
        return self._used_blocks() * self._block_bytes

    def pinned_bytes(self) -> int:
        """Return the size of the blocks that are pinned for running requests."""
        return (len(self._pins_by_block) + self._private_blocks) * self._block_bytes

    def can_ever_fit(self, tokens: int) -> bool:
        """Return whether a request of so many tokens would fit in an empty cache."""
        return self._blocks_for(tokens) <= self._capacity_blocks

    def allocate(
        self, owner: str, prompt_tokens: list[str], total_tokens: int
    ) -> KvAllocation | None:
        """Pin the blocks of a request, or return None if they do not fit now.

        Parameters
        ----------
        owner : model and adapter of the request; blocks are shared within one owner only.
        prompt_tokens : the tokens of the prompt.
        total_tokens : number of tokens of the prompt and the full response together.
        """
        prompt_blocks = self._prompt_block_hashes(owner, prompt_tokens)
        cached = self._cached_prefix_length(prompt_blocks)
        private = self._blocks_for(total_tokens) - len(prompt_blocks)
        new_blocks = len(prompt_blocks) - cached + private
        idle_reused = sum(1 for block_hash in prompt_blocks[:cached] if block_hash in self._idle)
        pinned = len(self._pins_by_block) + self._private_blocks + idle_reused
        if pinned + new_blocks > self._capacity_blocks:
            return None
        for block_hash in prompt_blocks:
            self._pin(block_hash)
        self._private_blocks += private
        self._evict_down_to(self._capacity_blocks)
        return KvAllocation(prompt_blocks, private, cached * self._block_tokens)

    def release(self, allocation: KvAllocation, computed: bool) -> None:
        """Unpin the blocks of a request; its prompt stays cached if its prefill was `computed`."""
        self._private_blocks -= allocation.private_blocks
        for block_hash in allocation.prompt_blocks:
            self._unpin(block_hash, computed)

    def _prompt_block_hashes(self, owner: str, tokens: list[str]) -> list[BlockHash]:
        seed = xxhash.xxh3_64_intdigest(owner.encode())
        hashes = []
        size = self._block_tokens
        for start in range(0, len(tokens) - size + 1, size):
            block = " ".join(tokens[start : start + size])
            seed = xxhash.xxh3_64_intdigest(block.encode(), seed=seed)
            hashes.append(seed)
        return hashes

    def _cached_prefix_length(self, hashes: list[BlockHash]) -> int:
        for position, block_hash in enumerate(hashes):
            if block_hash not in self._pins_by_block and block_hash not in self._idle:
                return position
        return len(hashes)

    def _pin(self, block_hash: BlockHash) -> None:
        self._idle.pop(block_hash, None)
        self._pins_by_block[block_hash] = self._pins_by_block.get(block_hash, 0) + 1

    def _unpin(self, block_hash: BlockHash, keep: bool) -> None:
        remaining_pins = self._pins_by_block[block_hash] - 1
        if remaining_pins:
            self._pins_by_block[block_hash] = remaining_pins
            return
        del self._pins_by_block[block_hash]
        if keep:
            self._idle[block_hash] = None

    def _evict_down_to(self, blocks: int) -> None:
        while self._idle and self._used_blocks() > blocks:
            self._idle.popitem(last=False)

    def _used_blocks(self) -> int:
        return len(self._pins_by_block) + len(self._idle) + self._private_blocks

    def _blocks_for(self, tokens: int) -> int:
        return -(-tokens // self._block_tokens)
