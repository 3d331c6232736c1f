"""Deterministic responses of language-model and lookup servers, as pure functions of the request.

Token N is a function of model, adapter, prompt and N alone, so that every server gives the
same response and a caller can check each chunk of a stream that another server continued. A prefix
that differs from what the model would have generated changes every later token, as it would in a
real model, so that a spliced stream is detected.
"""

from __future__ import annotations

import attrs
import xxhash

SYLLABLES = tuple(consonant + vowel for consonant in "bdfgklmnprstvz" for vowel in "aeiou")
"""Alphabet of the tokens. Changing it or the hash changes every response, and with it the digests
in journals."""
SYLLABLES_PER_TOKEN = 3
LOOKUP_VALUE_HEX_DIGITS = 12
MIN_LENGTH_FRACTION = 0.5
"""Length of the shortest response, as a fraction of `max_tokens`."""


@attrs.frozen
class GenerationKey:
    """The inputs that determine a response."""

    model: str
    adapter: str
    prompt: str
    max_tokens: int

    def seed(self) -> int:
        """Return the 64-bit seed of the response; `max_tokens` limits its length but no token."""
        digest = xxhash.xxh3_64()
        for part in (self.model, self.adapter, self.prompt):
            digest.update(part.encode())
            digest.update(b"\x00")
        return digest.intdigest()


class Generation:
    """One response, token by token.

    Parameters
    ----------
    key : the inputs that determine the response.
    prefix : tokens that another server already generated; the response continues after them.
    """

    def __init__(self, key: GenerationKey, prefix: list[str] | None = None) -> None:
        self.length = response_length(key)
        self._seed = key.seed()
        prefix_tokens = prefix or []
        self.generated = len(prefix_tokens)
        if prefix_tokens and prefix_tokens != [
            self._token(index) for index in range(1, len(prefix_tokens) + 1)
        ]:
            self._seed = _hash_with_seed(self._seed, "".join(prefix_tokens))

    def is_finished(self) -> bool:
        """Return whether the response is complete."""
        return self.generated >= self.length

    def next_token(self) -> str:
        """Generate and return the next token."""
        self.generated += 1
        return self._token(self.generated)

    def _token(self, index: int) -> str:
        return token_text(self._seed, index)


def token_text(seed: int, index: int) -> str:
    """Return the token at `index` (from 1) of the response with `seed`: a word and a space."""
    value = xxhash.xxh3_64_intdigest(index.to_bytes(4, "big"), seed=seed)
    text = ""
    for _ in range(SYLLABLES_PER_TOKEN):
        value, position = divmod(value, len(SYLLABLES))
        text += SYLLABLES[position]
    return text + " "


def response_length(key: GenerationKey) -> int:
    """Return how many tokens the full response has: from half of `max_tokens` to `max_tokens`."""
    shortest = max(1, int(key.max_tokens * MIN_LENGTH_FRACTION))
    spread = max(1, key.max_tokens) - shortest + 1
    return shortest + _hash_with_seed(key.seed(), "length") % spread


def full_response(key: GenerationKey) -> list[str]:
    """Return every token of a response."""
    seed = key.seed()
    return [token_text(seed, index) for index in range(1, response_length(key) + 1)]


def lookup_value(key: str) -> str:
    """Return the value that a lookup of `key` returns on every server."""
    return xxhash.xxh3_64_hexdigest(key.encode())[:LOOKUP_VALUE_HEX_DIGITS]


def text_digest(text: str) -> str:
    """Return the digest that journals record in place of prompts and responses."""
    return xxhash.xxh3_64_hexdigest(text.encode())


def _hash_with_seed(seed: int, text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode(), seed=seed)
