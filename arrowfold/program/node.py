"""Assembles and runs one node: event loop, routing core, fronts, discovery, signals and shutdown."""

from __future__ import annotations

import gc
import os
import signal
import socket
from collections import Counter
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from arrowfold import interface as api
from arrowfold.program.config import Config, ConfigError, read_config
from arrowfold.program.log import Log
from arrowfold.program.signals import Signals
from arrowfold.program.succession import Message, Succession, request_handover, socket_path
from arrowfold.protocol.admin import Admin, Call, Refused
from arrowfold.protocol.descriptions import load_asyncapi, load_openapi
from arrowfold.protocol.discovery import SOURCE, Discovery
from arrowfold.protocol.faktory import FaktoryFront
from arrowfold.protocol.front import Front
from arrowfold.protocol.load import LoadReader
from arrowfold.protocol.worker import SearchWorker
from arrowfold.routes.rules import Router
from arrowfold.routing.core import Core
from arrowfold.routing.session import to_us
from arrowfold.transport.budget import ConnectionBudget
from arrowfold.transport.loop import Loop, Steps
from arrowfold.transport.pool import Pools
from arrowfold.transport.stream import Address

if TYPE_CHECKING:
    from arrowfold.program.edge import TraceConfig
    from arrowfold.program.trace import TraceFile
    from arrowfold.quotas.gate import Gate
    from arrowfold.repeats.store import Store

RESERVED_DESCRIPTORS = 48  # file descriptors for the program itself, discovery and connections being closed
IDLE_CONNECTION_DIVISOR = 8  # at most one descriptor in this many holds a client's idle connection
BODY_MEMORY_DIVISOR = 8  # at most this fraction (1/n) of the memory holds request bodies
MIN_DRAIN = timedelta(milliseconds=1000)  # clients need up to 0.7 s to notice a restart
DRAIN_POLL_INTERVAL = timedelta(milliseconds=20)
MAX_DRAIN_DEADLINE = timedelta(seconds=3)  # upper bound of the longest deadline in the shutdown schedule
SIGKILL_DELAY = timedelta(milliseconds=700)  # time from that deadline to SIGKILL
CLIENT_CLOSE_LEAD = timedelta(milliseconds=600)  # clients' connections start to close so long before SIGKILL
MAX_START_WAIT = timedelta(seconds=1)  # maximum time that a successor waits for the worker list
IDLE_FRONT_TIME = timedelta(milliseconds=400)  # after this long without requests no client is expected
QUIET_NOTICE = timedelta(milliseconds=100)  # for heartbeats of Faktory workers to receive the quiet state
FINAL_ANSWER_LEAD = timedelta(milliseconds=200)  # requests still open this long before SIGKILL are answered
FINAL_WRITE_TIMEOUT = timedelta(milliseconds=120)  # maximum time for the last answers to be written


class Node:
    """One running node. Raises ConfigError or OSError where its configuration cannot be applied."""

    def __init__(self, config: Config, signals: Signals) -> None:
        self.config, self.signals, self.log = config, signals, _open_log(config)
        self.running_config = config  # as of the last accepted SIGHUP
        self.counters: Counter[str] = Counter()
        self.loop = Loop(self._report_fault)
        self.stop_at: timedelta | None = None
        self.close_began_at = self.loop.now()  # when the node began to close clients' connections
        path = socket_path(config.name, config.listen)
        self.handover = request_handover(path)
        self.succession = Succession(
            self.loop, path, self._export_state, self._apply_command, self._on_links_changed, self.log)
        self.budget = budget = ConnectionBudget(config.sockets - RESERVED_DESCRIPTORS)
        self.pools = Pools(budget)
        settings = config.settings
        self.trace: TraceFile | None = None
        self.core = Core(
            settings, config.seed, self.loop, self.counters, self._request_worker_list, self.log,
            config.max_sessions)
        self.core.routes = compile_routes(config)
        self._open_quotas(config)
        self.core.repeats = open_store(config, self.loop.now(), self.counters)
        self.succession.on_charge = self._apply_remote_charge
        if config.edge is not None and config.edge.trace is not None:
            self._open_trace(config.edge.trace)
        self.core.held_elsewhere, self.core.on_session = (
            self.succession.is_session_open, self.succession.send_session_change)
        self.load_reader = LoadReader(config.load_report_fields)
        self.idle_timeout = _idle_timeout(settings)
        self.discovery = Discovery(
            self.loop, config.discovery, self.core, self._make_server, self.counters, self.log,
            config.seed)
        # Shared with the fronts and updated in place on reload.
        self.classes = classes = {c.name: c for c in settings.classes}
        # With two fronts, each may use at most 75% of the connection budget: neither can exhaust it alone.
        share = 0.75 if config.faktory else 1.0
        openapi = load_openapi(config.openapi) if config.openapi else None
        asyncapi = load_asyncapi(config.asyncapi) if config.asyncapi else None
        self.front = Front(
            self.loop, config.listen, self.core, classes, budget, share,
            config.memory_bytes // BODY_MEMORY_DIVISOR, config.sockets // IDLE_CONNECTION_DIVISOR,
            self.counters, openapi, self._listener(config.listen))
        self.faktory = None if config.faktory is None else FaktoryFront(
            self.loop, config.faktory.listen, config.faktory.password, self.core, settings.zone, classes,
            budget, share, config.connect_timeout, self.counters, asyncapi,
            self._listener(config.faktory.listen))

        try:
            self.admin = None if config.admin is None else Admin(
                self.loop, config.admin, self._handle_command, self.counters, self.log)
        except OSError as error:
            raise ConfigError(f"admin: {error}") from error

    def _open_trace(self, config: TraceConfig) -> None:
        from arrowfold.program.trace import TraceFile

        try:
            self.trace = TraceFile(self.loop, config, self.config.name, self.counters, self.log)
        except OSError as error:
            raise ConfigError(f"trace > file: {error}") from error
        self.core.observer = self.trace
        self.trace.settings_changed(self.config.settings)

    # --- operators ---------------------------------------------------------------------------------------

    def _handle_command(self, call: Call) -> Steps[str]:
        """Executes an operator's command and returns its confirmation; the command is in effect by then."""
        if call.name == "status":
            if (why := self.front.not_ready_reason()) is not None:
                raise Refused(f"not ready: {why}")
            in_maintenance = sorted(self.core.table.out)
            return f"ready; in maintenance: {', '.join(in_maintenance) or 'none'}"
        if call.name.startswith("quota"):
            return self._quota(call)
        if call.name.startswith("maint-") and not self.core.table.known(call.argument):
            raise Refused(f"no backend server {call.argument[:80]!r} is known")
        self._apply_command(call.name, call.argument)
        if not (yield from self.succession.forward_call(call.name, call.argument)):
            raise Refused("done here, but the other process of this node did not confirm it")
        return f"{call}"

    def _quota(self, call: Call) -> str:
        """Shows or resets a quota level's balances. Another process of this node keeps its own balances."""
        if self.core.quotas is None:
            raise Refused("no quotas are set")
        if (fault := self.core.quotas.check(call.argument)) is not None:
            raise Refused(fault)
        path, ledger = tuple(call.argument.split("/")), self.core.quotas.ledger
        if call.name == "quota-reset":
            if not ledger.reset(path):
                raise Refused(f"{call.argument[:80]!r} has used nothing here")
            return f"{call}"
        balances = ledger.describe(path, to_us(self.loop.now()))
        if not balances:
            raise Refused(f"{call.argument[:80]!r} has used nothing here, or has no limits")
        return f"{call}: " + "; ".join(balances)

    def _apply_command(self, name: str, argument: str) -> None:
        if name == "maint-on":
            self.core.start_maintenance(argument)
        elif name == "maint-off":
            self.core.end_maintenance(argument)
        else:
            self.front.set_standby(name == "standby")
            if self.faktory is not None:
                self.faktory.set_standby(name == "standby")

    def _report_fault(self, where: str, error: BaseException) -> None:
        self.counters["faults"] += 1
        location, trace = "", error.__traceback__
        while trace is not None:
            location, trace = f"{trace.tb_frame.f_code.co_filename}:{trace.tb_lineno}", trace.tb_next
        self.log("fault", where=where, error=f"{type(error).__name__}: {error}", at=location)

    def _make_server(self, address: Address) -> SearchWorker:
        return SearchWorker(
            self.loop, address, self.idle_timeout, self.running_config.connect_timeout, self.pools,
            self.load_reader, self.counters)

    def _request_worker_list(self, follow: bool) -> None:
        self.discovery.ask(follow)

    # --- replacing the process ---------------------------------------------------------------------------

    def _listener(self, address: Address) -> socket.socket | None:
        return self.handover.listener(address) if self.handover is not None else None

    def _export_state(self) -> tuple[Message, tuple[int, ...]]:
        """Returns the state that a successor continues with, and the listening sockets' descriptors."""
        table = self.core.table
        listeners = [front.listener.sock for front in (self.front, self.faktory) if front is not None]
        return {
            "maintenance": table.out, "back": table.back, "standby": self.front.standby,
            "discovery": self.discovery.address, "known": self.discovery.known(),
            "sessions": list(self.core.sessions),
            "quotas": self.core.quotas.ledger.state() if self.core.quotas is not None else None,
        }, tuple(sock.fileno() for sock in listeners if sock.fileno() >= 0)

    def _restore_state(self) -> None:
        """Adopts the predecessor's state: maintenance, standby, quota balances and the worker list."""
        assert self.handover is not None
        state = self.handover.state
        self.core.table.out.update(state.get("maintenance") or {})
        if self.trace is not None:
            for name in self.core.table.out:
                self.trace.maintenance_changed(name, True)
        self.core.table.back.update({n: tuple(pair) for n, pair in (state.get("back") or {}).items()})
        if state.get("standby"):
            self._apply_command("standby", "")
        if self.core.quotas is not None and state.get("quotas"):
            self.core.quotas.ledger.restore(state["quotas"], to_us(self.loop.now()))
        known_workers = state["known"]
        if list(self.discovery.address or ()) != list(state.get("discovery") or ()):
            known_workers["rev"] = None  # list versions are only comparable within one discovery address
        self.discovery.take(known_workers, api.RosterMode.PERSISTED)

    def _open_quotas(self, config: Config) -> None:
        self.core.quotas = open_gate(config, self.loop.now())
        self._set_charge_forwarding()

    def _set_charge_forwarding(self) -> None:
        """Forwards quota charges while another process of this node is connected."""
        if self.core.quotas is not None:
            self.core.quotas.ledger.on_charge = self.succession.send_charge if self.succession.links else None

    def _apply_remote_charge(self, row: Any) -> None:
        """Applies a charge of the other process: it has admitted a request or settled it."""
        if self.core.quotas is not None:
            try:
                self.core.quotas.ledger.apply_replicated_charge(row, to_us(self.loop.now()))
            except ValueError as error:
                self.log("succession_bad_charge", error=str(error))

    def _on_links_changed(self) -> None:
        """Adapts to another process of this node that has connected, started to serve or ended.

        While two processes run, each uses half of the descriptors and forwards its quota charges. Once a
        successor serves, a draining process stops accepting; a process whose successor ended publishes its
        socket again.
        """
        self._set_charge_forwarding()
        descriptor_limit = self.config.sockets - RESERVED_DESCRIPTORS
        if self.succession.links:
            descriptor_limit = max(self.config.sockets // 2 - RESERVED_DESCRIPTORS, self.config.sockets // 8)
        self.budget.resize(descriptor_limit)
        if self.stop_at is not None and self.succession.has_serving_successor:
            self._retire()
        elif self.stop_at is None and not self.front.starting and not self.succession.has_serving_successor \
                and self.succession.sock is not None and not self.succession.is_published():
            self.succession.publish()  # the successor ended early; the next one must find this process

    def _start_when_listed(self, deadline: timedelta) -> None:
        """Starts the fronts once the worker list is known or `deadline` is reached.

        It waits only while a predecessor is connected, which serves until then.
        """
        if not self.core.listed and self.loop.now() < deadline and self.succession.links:
            self.loop.call_later(DRAIN_POLL_INTERVAL, lambda: self._start_when_listed(deadline))
            return
        self.front.start()
        if self.faktory is not None:
            self.faktory.start()
        self.succession.publish()
        self.log("listens", address=f"{self.config.listen[0]}:{self.config.listen[1]}")

    def _retire(self) -> None:
        """Stops accepting once the successor serves; the process ends when its open requests are answered."""
        if not self.front.retired:
            self.log("retires")
            self.front.stop_accepting()
            if self.faktory is not None:
                self.faktory.stop_accepting()

    def run(self) -> int:
        """Serves until a signal arrives and all open requests are answered. Returns the exit code."""
        self.loop.watch(self.signals.fileno(), self)
        if self.handover is not None:
            try:
                self._restore_state()
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                self.log("succession_bad_state", error=f"{type(error).__name__}: {error}")
            self.succession.attach_predecessor(self.handover)
            self.handover.close_unused()
            # The predecessor's worker list was current, so following it continues without a gap.
            self.discovery.begin(MAX_START_WAIT, at_once=True)
        else:
            self._load_known_workers()
            self.discovery.begin()
        gc.freeze()
        self._start_when_listed(self.loop.now() + MAX_START_WAIT)
        self.loop.run()
        self.succession.withdraw()
        if self.trace is not None:
            self.trace.close()
        self._print_counters()
        return 0

    def _load_known_workers(self) -> None:
        known_workers: Any = self.config.known_workers or {"all": True, "targets": []}
        try:
            self.discovery.take(known_workers, api.RosterMode.PERSISTED)
        except ValueError as error:
            self.log("known_refused", error=str(error))
            self.core.list_servers(SOURCE, (), api.RosterMode.PERSISTED, shared=True)

    # --- signals and shutdown ----------------------------------------------------------------------------

    def on_ready(self, mask: int) -> None:
        """Handles the signals received since the last call; several SIGHUPs cause one reload."""
        del mask
        numbers = self.signals.take()
        if signal.SIGHUP in numbers:
            self._reload()
        for number in numbers:
            if number == signal.SIGUSR1:
                self._print_counters()
            elif number != signal.SIGHUP and self.stop_at is None:
                # SIGKILL may follow the initial or the current settings, so the shorter deadline counts.
                longest_deadline = min(self.config.longest_deadline, self.running_config.longest_deadline)
                earliest_end, close_delay, stop = shutdown_times(longest_deadline)
                self.log("asked_to_end", owed=self.core.unanswered_count)
                self.counters["terminations"] += 1
                self.stop_at = self.loop.now() + stop
                self.front.drain()
                if self.succession.has_serving_successor:
                    self._retire()
                # In a zone with a single node nobody else serves its clients while it restarts, so their
                # connections stay open as long as time allows.
                self.loop.call_later(close_delay, self._begin_closing_clients)
                self.loop.call_later(
                    DRAIN_POLL_INTERVAL if self.succession.has_serving_successor else earliest_end,
                    self._stop_when_idle)

    def _reload(self) -> None:
        """Applies a changed configuration as far as a running node can. An invalid one changes nothing."""
        self.counters["reloads"] += 1
        try:
            updated = read_config(os.environ, self.config.edge_file, self.config, self.running_config)
            routes = compile_routes(updated)
        except Exception as error:  # no content of the file may end the node
            self.counters["reloads_refused"] += 1
            self.log("reload_refused", error=str(error))
            return
        fixed = [
            key for key in self.config.changed_keys(updated) if key not in ("discovery", "settings", "known")]
        if fixed:
            self.log("reload_waits_for_restart", keys=", ".join(fixed))
        if updated.settings != self.running_config.settings:
            self.counters["reloads_settings"] += 1
            self.log("reload_settings", classes=", ".join(c.name for c in updated.settings.classes),
                     attempts=updated.settings.attempt_cap)
            self.core.change_settings(updated.settings, updated.max_sessions)
        if updated.edge is not None and self.running_config.edge is not None \
                and updated.edge.routes != self.running_config.edge.routes:
            self.counters["reloads_routes"] += 1
            self.core.routes = routes
            self.log("reload_routes", rules=len(updated.edge.routes.rules))
        self._change_quotas(updated)
        self.running_config, self.idle_timeout = updated, _idle_timeout(updated.settings)
        self.classes.clear()
        self.classes.update({c.name: c for c in updated.settings.classes})
        self.load_reader.set_field_names(updated.load_report_fields)
        self.discovery.limit(self.idle_timeout, updated.connect_timeout)
        if updated.discovery is not None and updated.discovery != self.discovery.address:
            self.log("reload_discovery", address=f"{updated.discovery[0]}:{updated.discovery[1]}")
            self.discovery.change_address(updated.discovery)
        self.discovery.ensure_agent_watch()

    def _change_quotas(self, updated: Config) -> None:
        """Applies a changed quota tree; balances are kept by path."""
        tree = updated.edge.quotas if updated.edge is not None else None
        if tree is None or self.core.quotas is None:
            self._open_quotas(updated)
        else:
            self.core.quotas.replace_tree(tree, updated.settings.fleet_size)

    def _begin_closing_clients(self) -> None:
        """Begins to close clients' connections and answers Faktory heartbeats with the quiet state."""
        self.close_began_at = self.loop.now()
        self.front.leave()
        if self.faktory is not None and not self.front.retired:
            self.faktory.drains_workers = True

    def _stop_when_idle(self) -> None:
        """Ends once every request is answered and clients have left, at the latest before SIGKILL."""
        assert self.stop_at is not None
        now = self.loop.now()
        # Until a starting successor serves, only this process can serve new clients.
        is_idle = not self.core.unanswered_count and not self.succession.has_starting_successor \
            and not self.front.busy(IDLE_FRONT_TIME)
        is_idle = is_idle and not (self.faktory and self.faktory.has_unwritten_answers())
        if is_idle and not self.front.leaving:
            self._begin_closing_clients()
            self.loop.call_later(QUIET_NOTICE, self._stop_when_idle)
        elif (is_idle and now - self.close_began_at >= QUIET_NOTICE) or now >= self.stop_at:
            # The delay lets heartbeats still receive the quiet state, and lets a client whose request
            # crossed the close of its connection connect once more.
            # Past `stop_at` SIGKILL is near: every open request must get its one answer now.
            self.loop.spawn(self._answer_all_and_stop(), "end")
        else:
            self.loop.call_later(DRAIN_POLL_INTERVAL, self._stop_when_idle)

    def _answer_all_and_stop(self) -> Steps[None]:
        """Answers all open requests, waits until the answers are written, and stops the loop.

        A request that is read during this time is refused rather than left unanswered. Unread bytes would
        turn the close of a connection into a reset that destroys an answer on its way.
        """
        deadline = self.loop.now() + FINAL_WRITE_TIMEOUT
        self.front.finish()
        self.core.fail_all()
        yield from self.loop.turn()
        while self.loop.now() < deadline and (
                self.front.has_work() or (self.faktory is not None and self.faktory.has_unwritten_answers())):
            yield from self.loop.sleep(DRAIN_POLL_INTERVAL / 4)
        self.loop.stopping = True

    def _print_counters(self) -> None:
        self.log("counters", **dict(sorted(self.counters.items())))


def shutdown_times(longest_deadline: timedelta) -> tuple[timedelta, timedelta, timedelta]:
    """Returns the shutdown times, counted from SIGTERM: earliest end, begin of closing clients, latest end.

    The platform sends SIGKILL 0.7 s after the longest deadline, where a deadline over 3 s counts as 3 s.
    """
    kill = min(longest_deadline, MAX_DRAIN_DEADLINE) + SIGKILL_DELAY
    stop = kill - FINAL_ANSWER_LEAD
    return min(MIN_DRAIN, stop), kill - CLIENT_CLOSE_LEAD, stop


def compile_routes(config: Config) -> Router | None:
    """Returns the configuration's route table; None, and no library is imported, if it has no rules."""
    if config.edge is None or not config.edge.routes.rules:
        return None
    from arrowfold.routes.table import RouteTable

    return RouteTable(config.edge.routes)


def open_gate(config: Config, now: timedelta) -> Gate | None:
    """Returns the configuration's quota gate; None, and nothing is imported, if it has no quotas."""
    if config.edge is None or config.edge.quotas is None:
        return None
    from arrowfold.quotas.gate import Gate

    initial_run_times = {c.name: timedelta(microseconds=c.aim_us) for c in config.settings.classes}
    return Gate(config.edge.quotas, config.settings.fleet_size, initial_run_times, now)


def open_store(config: Config, now: timedelta, counters: Counter[str]) -> Store | None:
    """Returns the store of request keys; None, and nothing is imported, if the document has no repeats."""
    if config.edge is None or config.edge.repeats is None:
        return None
    from arrowfold.repeats.store import Store

    return Store(config.edge.repeats, {cls.name: cls for cls in config.settings.classes}, now, counters)


def _open_log(config: Config) -> Log:
    return Log(config.name, config.edge.log if config.edge is not None else None)


def _idle_timeout(settings: api.Settings) -> timedelta:
    """Returns the idle time after which a connection is closed, well before a worker would close it."""
    return timedelta(microseconds=settings.connection_idle_us or 30_000_000) * 0.8
