"""Which prompt parts a worker keeps, as far as an edge can tell, and which workers are a part's homes."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from hashlib import blake2b
from typing import Protocol, TypeVar

from arrowfold.selection.interface import PromptPart, RequestProfile

_MASK = (1 << 64) - 1


class KeptParts:
    """The parts that this edge has sent to a worker, the least recently used out first."""

    def __init__(self, capacity_tokens: float) -> None:
        self.capacity_tokens = capacity_tokens
        self._tokens: OrderedDict[tuple[str, str, str], int] = OrderedDict()
        self._total = 0

    def cached_tokens(self, request: RequestProfile) -> int:
        """Tokens of the prompt that need no prefill: a part counts only after all parts before it."""
        tokens = 0
        for part in request.parts:
            if (request.model, request.adapter, part.identity) not in self._tokens:
                break
            tokens += part.tokens
        return tokens

    def add(self, request: RequestProfile) -> None:
        """The worker reads this prompt; the last part goes first when room is short."""
        for part in reversed(request.parts):
            key = (request.model, request.adapter, part.identity)
            if key not in self._tokens:
                self._tokens[key] = part.tokens
                self._total += part.tokens
            self._tokens.move_to_end(key)
        while self._total > self.capacity_tokens and len(self._tokens) > 1:
            _, tokens = self._tokens.popitem(last=False)
            self._total -= tokens

    def forget_model(self, models: frozenset[str]) -> None:
        """Drop what was kept for models that the worker no longer holds; `models` are those it holds."""
        for key in [key for key in self._tokens if key[0] not in models]:
            self._total -= self._tokens.pop(key)


def shared_parts(request: RequestProfile) -> tuple[PromptPart, ...]:
    """The parts that other requests may share: all but the last, which is the request's or its session's."""
    return request.parts[:-1]


def home_key(request: RequestProfile) -> str | None:
    """What names the homes of a request: its last shared part, else its session; None without parts."""
    if not request.parts:
        return None
    part = request.parts[-2] if len(request.parts) > 1 else request.parts[-1]
    return f"{request.model}/{request.adapter}/{part.identity}"


class Marked(Protocol):
    """Something with a stable hash of its name."""

    @property
    def mark(self) -> int:
        """64 bits."""


MarkedT = TypeVar("MarkedT", bound=Marked)


def name_mark(name: str) -> int:
    """The same 64 bits of a name at every node."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def rendezvous(key: str, nodes: Iterable[MarkedT], count: int) -> list[MarkedT]:
    """The `count` nodes with the highest scores for a key: every edge names the same, in the same order."""
    key_mark = name_mark(key)

    def score(node: MarkedT) -> int:
        mixed = ((node.mark ^ key_mark) * 0x9E3779B97F4A7C15) & _MASK
        mixed ^= mixed >> 29
        return (mixed * 0xBF58476D1CE4E5B9) & _MASK

    return sorted(nodes, key=score, reverse=True)[:count]
