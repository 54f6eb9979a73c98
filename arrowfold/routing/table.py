"""The server table: every backend server that a source has listed, whatever wire it speaks."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from arrowfold import interface as api
from arrowfold.routing.session import BackendServer

Row = tuple[api.RosterEntry, BackendServer]
NAMES_KEPT = 1000  # of servers that were listed once: operators may call them out while they are away


class ServerTable:
    """Rows by source, so that one source's whole list leaves the other sources' servers alone.

    Maintenance lies over all of them: who is in it is draining, whatever a list says.
    """

    def __init__(self) -> None:
        self._sources: dict[str, dict[str, Row]] = {}
        self._names: dict[str, None] = {}
        self._shared: set[str] = set()  # sources that tell all nodes the same
        self.out: dict[str, int] = {}  # servers in maintenance, and the start that was listed at the call out
        self.back: dict[str, tuple[int, int]] = {}  # brought back: the start listed, and the one assumed

    def share(self, source: str) -> None:
        """This source tells all nodes the same: each may work with a part of what it lists."""
        self._shared.add(source)

    def own(self, name: str) -> bool:
        """Whether no source that is shared has named it: it may be known to this node alone."""
        return not any(name in self._sources.get(source, ()) for source in self._shared)

    def replace(self, source: str, rows: Iterable[Row], mode: api.RosterMode) -> api.RosterUpdate:
        """A source's whole list."""
        self._sources[source] = {row[0].worker: row for row in rows}
        self._note(self._sources[source])
        entries = tuple(self._seen(e) for table in self._sources.values() for e, _ in table.values())
        return api.RosterUpdate(mode, entries)

    def change(self, source: str, rows: Iterable[Row]) -> api.RosterUpdate:
        """Those rows of a source that changed; a terminated server leaves the table."""
        table = self._sources.setdefault(source, {})
        entries = []
        for row in rows:
            entries.append(self._seen(row[0]))
            if row[0].lifecycle is api.Lifecycle.TERMINATED:
                table.pop(row[0].worker, None)
            else:
                table[row[0].worker] = row
        self._note(entry.worker for entry in entries)
        return api.RosterUpdate(api.RosterMode.PARTIAL, tuple(entries))

    def find(self, name: str) -> BackendServer | None:
        row = self._row(name)
        return row[1] if row is not None else None

    def serves(self, name: str, server: BackendServer) -> bool:
        """Whether this very process may be sent new work."""
        row = self._row(name)
        return row is not None and row[1] is server \
            and self._seen(row[0]).lifecycle is api.Lifecycle.IN_SERVICE

    def rows(self, source: str) -> dict[str, Row]:
        return self._sources.get(source, {})

    def serving(self) -> int:
        """How many may be sent new work."""
        return sum(self._seen(entry).lifecycle is api.Lifecycle.IN_SERVICE
                   for table in self._sources.values() for entry, _ in table.values())

    # --- maintenance -----------------------------------------------------------------------------------

    def known(self, name: str) -> bool:
        """Whether a list has named it, now or lately."""
        return name in self._names or name in self.out or self._row(name) is not None

    def take_out(self, name: str) -> api.RosterUpdate:
        """Nothing more goes to it; said twice, it is out once."""
        row = self._row(name)
        self.out.setdefault(name, row[0].launched_us if row is not None else 0)
        return self._told(row)

    def bring_back(self, name: str, now_us: int) -> api.RosterUpdate:
        """It may serve again, and counts as started now unless the list shows that it has started since.

        Guards a server that comes back cold: the list runs late, and may still tell of its start before.
        """
        listed_then = self.out.pop(name, None)
        row = self._row(name)
        if listed_then is not None and (row is None or row[0].launched_us == listed_then):
            self.back[name] = listed_then, now_us
        return self._told(row)

    def _row(self, name: str) -> Row | None:
        return next((table[name] for table in self._sources.values() if name in table), None)

    def _told(self, row: Row | None) -> api.RosterUpdate:
        return api.RosterUpdate(api.RosterMode.PARTIAL, () if row is None else (self._seen(row[0]),))

    def _seen(self, entry: api.RosterEntry) -> api.RosterEntry:
        """An entry as the module is to see it."""
        if entry.worker in self.out:
            if entry.lifecycle is api.Lifecycle.IN_SERVICE:
                return replace(entry, lifecycle=api.Lifecycle.TERMINATING)
        elif entry.worker in self.back:
            listed, assumed = self.back[entry.worker]
            if entry.launched_us == listed:
                return replace(entry, launched_us=assumed)
            del self.back[entry.worker]  # the list knows of the start by now
        return entry

    def _note(self, names: Iterable[str]) -> None:
        for name in names:
            self._names.pop(name, None)
            self._names[name] = None
        while len(self._names) > NAMES_KEPT:  # guards the memory against ever new names
            oldest = next(iter(self._names))
            del self._names[oldest]
            self.back.pop(oldest, None)
