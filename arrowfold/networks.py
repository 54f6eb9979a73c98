"""A map from IPv4 and IPv6 networks to values, looked up by longest-prefix match."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

import pytricia  # type: ignore[import-not-found]
from netaddr import AddrFormatError, IPNetwork  # type: ignore[import-untyped]

T = TypeVar("T")
ADDRESS_BITS = {4: 32, 6: 128}  # by IP version


def read_network(text: str) -> IPNetwork:
    """Parses a network in CIDR form or a single address.

    Raises ValueError if the text is neither, or if bits are set beyond the mask.
    """
    try:
        network = IPNetwork(text)
    except (AddrFormatError, ValueError) as error:
        raise ValueError(f"{text!r} is no network") from error
    if network.ip != network.cidr.ip:
        raise ValueError(f"{text!r} has bits set beyond its mask; did you mean {network.cidr}?")
    return network


class Networks(Generic[T]):
    """Values by network. `join` combines the value of the next wider network with a network's own."""

    def __init__(
            self, rows: Iterable[tuple[str, T]], join: Callable[[T, T], T] = lambda wide, own: own,
    ) -> None:
        self._trees: dict[int, pytricia.PyTricia] = {v: pytricia.PyTricia(w) for v, w in ADDRESS_BITS.items()}
        # Wider networks first: each narrower one joins the value of the network that contains it.
        for network, value in sorted(
                ((read_network(text), value) for text, value in rows), key=lambda row: row[0].prefixlen):
            tree, cidr = self._trees[network.version], str(network.cidr)
            tree[cidr] = join(tree[cidr], value) if cidr in tree else value

    def find(self, address: str | None) -> T | None:
        """Returns the value of the narrowest network that contains an address, or None.

        None is also returned for a text that is not an address.
        """
        if address is None:
            return None
        try:
            found: T = self._trees[6 if ":" in address else 4][address]
        except (KeyError, ValueError):
            return None
        return found
