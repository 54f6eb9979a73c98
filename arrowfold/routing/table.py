"""The server table: every backend server that a source has listed, whatever wire it speaks."""

from __future__ import annotations

from collections.abc import Iterable

from arrowfold import interface as api
from arrowfold.routing.session import BackendServer

Row = tuple[api.RosterEntry, BackendServer]


class ServerTable:
    """Rows by source, so that one source's whole list leaves the other sources' servers alone."""

    def __init__(self) -> None:
        self._sources: dict[str, dict[str, Row]] = {}

    def replace(self, source: str, rows: Iterable[Row], mode: api.RosterMode) -> api.RosterUpdate:
        """A source's whole list."""
        self._sources[source] = {row[0].worker: row for row in rows}
        entries = tuple(entry for table in self._sources.values() for entry, _ in table.values())
        return api.RosterUpdate(mode, entries)

    def change(self, source: str, rows: Iterable[Row]) -> api.RosterUpdate:
        """Those rows of a source that changed; a terminated server leaves the table."""
        table = self._sources.setdefault(source, {})
        entries = []
        for row in rows:
            entries.append(row[0])
            if row[0].lifecycle is api.Lifecycle.TERMINATED:
                table.pop(row[0].worker, None)
            else:
                table[row[0].worker] = row
        return api.RosterUpdate(api.RosterMode.PARTIAL, tuple(entries))

    def find(self, name: str) -> BackendServer | None:
        for table in self._sources.values():
            if name in table:
                return table[name][1]
        return None

    def rows(self, source: str) -> dict[str, Row]:
        return self._sources.get(source, {})

    def serving(self) -> int:
        """How many may be sent new work."""
        return sum(entry.lifecycle is api.Lifecycle.IN_SERVICE
                   for table in self._sources.values() for entry, _ in table.values())
