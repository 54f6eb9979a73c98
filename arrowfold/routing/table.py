"""The server table: every backend server that a source has listed, whatever its protocol."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from arrowfold import interface as api
from arrowfold.routing.session import BackendServer

Row = tuple[api.RosterEntry, BackendServer]
MAX_REMEMBERED_NAMES = 1000  # names of servers once listed: maintenance can start while one is unlisted


class ServerTable:
    """Rows by source, so that a source's complete list does not affect the servers of other sources.

    Maintenance applies to all sources: a server in maintenance is draining, whatever a list reports.
    """

    def __init__(self) -> None:
        self._sources: dict[str, dict[str, Row]] = {}
        self._recent_names: dict[str, None] = {}
        self._shared: set[str] = set()  # sources with the same list for all nodes
        self.out: dict[str, int] = {}  # servers in maintenance: the start time (us) listed when it began
        self.back: dict[str, tuple[int, int]] = {}  # after maintenance: start times (us) listed and assumed

    def mark_shared(self, source: str) -> None:
        """Marks a source whose list is the same for all nodes, so that each node may use a part of it."""
        self._shared.add(source)

    def is_unshared(self, name: str) -> bool:
        """Returns whether no shared source lists the server, so that it may be known to this node alone."""
        return not any(name in self._sources.get(source, ()) for source in self._shared)

    def replace(self, source: str, rows: Iterable[Row], mode: api.RosterMode) -> api.RosterUpdate:
        """Replaces a source's list; the update holds the servers of all sources."""
        self._sources[source] = {row[0].worker: row for row in rows}
        self._remember_names(self._sources[source])
        entries = tuple(self._seen(e) for table in self._sources.values() for e, _ in table.values())
        return api.RosterUpdate(mode, entries)

    def change(self, source: str, rows: Iterable[Row]) -> api.RosterUpdate:
        """Applies changed rows of a source; a terminated server is removed from the table."""
        table = self._sources.setdefault(source, {})
        entries = []
        for row in rows:
            entries.append(self._seen(row[0]))
            if row[0].lifecycle is api.Lifecycle.TERMINATED:
                table.pop(row[0].worker, None)
            else:
                table[row[0].worker] = row
        self._remember_names(entry.worker for entry in entries)
        return api.RosterUpdate(api.RosterMode.PARTIAL, tuple(entries))

    def find(self, name: str) -> BackendServer | None:
        """Returns the listed server of this name, or None."""
        row = self._row(name)
        return row[1] if row is not None else None

    def serves(self, name: str, server: BackendServer) -> bool:
        """Returns whether this server process is the listed one and accepts new work."""
        row = self._row(name)
        return row is not None and row[1] is server \
            and self._seen(row[0]).lifecycle is api.Lifecycle.IN_SERVICE

    def rows(self, source: str) -> dict[str, Row]:
        """Returns a source's rows by server name."""
        return self._sources.get(source, {})

    def serving(self) -> int:
        """Returns the number of servers that accept new work."""
        return sum(self._seen(entry).lifecycle is api.Lifecycle.IN_SERVICE
                   for table in self._sources.values() for entry, _ in table.values())

    # --- maintenance -----------------------------------------------------------------------------------

    def known(self, name: str) -> bool:
        """Returns whether a list has the server, or had it recently."""
        return name in self._recent_names or name in self.out or self._row(name) is not None

    def start_maintenance(self, name: str) -> api.RosterUpdate:
        """Starts maintenance of a server; idempotent."""
        row = self._row(name)
        self.out.setdefault(name, row[0].launched_us if row is not None else 0)
        return self._update_for(row)

    def end_maintenance(self, name: str, now_us: int) -> api.RosterUpdate:
        """Ends maintenance of a server.

        It counts as started now, hence cold, unless the list shows that it has restarted since maintenance
        began: the list lags and may still report the earlier start.
        """
        listed_start = self.out.pop(name, None)
        row = self._row(name)
        if listed_start is not None and (row is None or row[0].launched_us == listed_start):
            self.back[name] = listed_start, now_us
        return self._update_for(row)

    def _row(self, name: str) -> Row | None:
        return next((table[name] for table in self._sources.values() if name in table), None)

    def _update_for(self, row: Row | None) -> api.RosterUpdate:
        return api.RosterUpdate(api.RosterMode.PARTIAL, () if row is None else (self._seen(row[0]),))

    def _seen(self, entry: api.RosterEntry) -> api.RosterEntry:
        """Returns an entry with the effects of maintenance, as the dispatcher receives it."""
        if entry.worker in self.out:
            if entry.lifecycle is api.Lifecycle.IN_SERVICE:
                return replace(entry, lifecycle=api.Lifecycle.TERMINATING)
        elif entry.worker in self.back:
            listed, assumed = self.back[entry.worker]
            if entry.launched_us == listed:
                return replace(entry, launched_us=assumed)
            del self.back[entry.worker]  # the list reports a newer start
        return entry

    def _remember_names(self, names: Iterable[str]) -> None:
        for name in names:
            self._recent_names.pop(name, None)
            self._recent_names[name] = None
        while len(self._recent_names) > MAX_REMEMBERED_NAMES:  # limits memory if new names keep coming
            oldest = next(iter(self._recent_names))
            del self._recent_names[oldest]
            self.back.pop(oldest, None)
