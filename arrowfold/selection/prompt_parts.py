"""Estimates which prompt parts a worker has cached, and names the affinity workers of a prompt part."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from hashlib import blake2b
from typing import Protocol, TypeVar

from arrowfold.selection.interface import PromptPart, RequestProfile

_MASK = (1 << 64) - 1


class PromptCacheEstimate:
    """An estimate of a worker's prompt cache, based on the prompt parts that this edge sent there.

    The least recently used parts are evicted first.
    """

    def __init__(self, capacity_tokens: float) -> None:
        self.capacity_tokens = capacity_tokens
        self._tokens: OrderedDict[tuple[str, str, str], int] = OrderedDict()
        self._total = 0

    def cached_tokens(self, request: RequestProfile) -> int:
        """Returns the prompt tokens that need no prefill: a part counts only if all parts before it do."""
        tokens = 0
        for part in request.parts:
            if (request.model, request.adapter, part.identity) not in self._tokens:
                break
            tokens += part.tokens
        return tokens

    def add(self, request: RequestProfile) -> None:
        """Adds the parts of a prompt; of one prompt, the last part is evicted first."""
        for part in reversed(request.parts):
            key = (request.model, request.adapter, part.identity)
            if key not in self._tokens:
                self._tokens[key] = part.tokens
                self._total += part.tokens
            self._tokens.move_to_end(key)
        while self._total > self.capacity_tokens and len(self._tokens) > 1:
            _, tokens = self._tokens.popitem(last=False)
            self._total -= tokens

    def retain_models(self, models: frozenset[str]) -> None:
        """Removes the parts of all models but `models`, which the worker still holds."""
        for key in [key for key in self._tokens if key[0] not in models]:
            self._total -= self._tokens.pop(key)


def shared_parts(request: RequestProfile) -> tuple[PromptPart, ...]:
    """Returns all parts but the last, which belongs to the request or its session alone."""
    return request.parts[:-1]


def affinity_key(request: RequestProfile) -> str | None:
    """Returns the key that names a request's affinity workers; None for a request without parts.

    The key is the last shared part, or the only part, which stands for the session.
    """
    if not request.parts:
        return None
    part = request.parts[-2] if len(request.parts) > 1 else request.parts[-1]
    return f"{request.model}/{request.adapter}/{part.identity}"


class HashedNode(Protocol):
    """A node with a stable hash of its name."""

    @property
    def name_hash(self) -> int:
        """The 64-bit hash of the node's name."""


NodeT = TypeVar("NodeT", bound=HashedNode)


def hash_name(name: str) -> int:
    """Returns a 64-bit hash of a name that is the same in every process."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def rendezvous(key: str, nodes: Iterable[NodeT], count: int) -> list[NodeT]:
    """Returns the `count` nodes with the highest rendezvous hashes for a key, best first.

    Every edge with the same nodes gets the same list.
    """
    key_hash = hash_name(key)

    def score(node: NodeT) -> int:
        mixed = ((node.name_hash ^ key_hash) * 0x9E3779B97F4A7C15) & _MASK
        mixed ^= mixed >> 29
        return (mixed * 0xBF58476D1CE4E5B9) & _MASK

    return sorted(nodes, key=score, reverse=True)[:count]
