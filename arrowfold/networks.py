"""What belongs to an address: networks of both families in radix trees, the longest match decides."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

import pytricia  # type: ignore[import-not-found]
from netaddr import AddrFormatError, IPNetwork  # type: ignore[import-untyped]

T = TypeVar("T")
WIDTHS = {4: 32, 6: 128}


def read_network(text: str) -> IPNetwork:
    """A network in CIDR form, or one address. ValueError where it is neither, or has bits beyond its mask."""
    try:
        network = IPNetwork(text)
    except (AddrFormatError, ValueError) as error:
        raise ValueError(f"{text!r} is no network") from error
    if network.ip != network.cidr.ip:
        raise ValueError(f"{text!r} has bits set beyond its mask; {network.cidr} is meant?")
    return network


class Networks(Generic[T]):
    """Values by network. `join` makes a network's value of that of the next wider one and its own."""

    def __init__(
            self, rows: Iterable[tuple[str, T]], join: Callable[[T, T], T] = lambda wide, own: own,
    ) -> None:
        self._trees: dict[int, pytricia.PyTricia] = {v: pytricia.PyTricia(w) for v, w in WIDTHS.items()}
        # The wide ones first: each takes over what lies around it.
        for network, value in sorted(
                ((read_network(text), value) for text, value in rows), key=lambda row: row[0].prefixlen):
            tree, cidr = self._trees[network.version], str(network.cidr)
            tree[cidr] = join(tree[cidr], value) if cidr in tree else value

    def find(self, address: str | None) -> T | None:
        """The value of the narrowest network around an address; None in none, or where it is no address."""
        if address is None:
            return None
        try:
            found: T = self._trees[6 if ":" in address else 4][address]
        except (KeyError, ValueError):
            return None
        return found
