"""The simulator's protocol: translates lines into events and actions into lines. Decides nothing.

Reads batches from standard input, one JSON value per line, and writes one reply for each. Hosts any number
of dispatchers, which share no state.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from arrowfold import interface as api
from arrowfold.choice import Dispatcher

Fields = dict[str, Any]

_MODES = {mode.value.capitalize(): mode for mode in api.RosterMode}
_SOURCES = {"piggyback": api.LoadSource.ANSWERS, "pull": api.LoadSource.PROBES}
_STATUS = {status.value: status for status in api.Status}
_LIFECYCLES = {state.value: state for state in api.Lifecycle}
_REPORTED = {"q": "waiting", "busy": "busy", "rif": "held", "fail_rate": "errors"}
_MEANINGS = {"free slots": "free_slots", "free memory": "free_memory"}
_STARTED = 1


class WireError(ValueError):
    """A line that is not a valid batch."""


def read_class(conf: Fields, index: int) -> api.RequestClass:
    """Reads one class of the settings, including its entries in `domain`."""
    row, domain = conf["classes"][index], conf.get("domain") or {}
    kinds, stretches = domain.get("classKind") or [], domain.get("classStretch") or []
    kind_index = kinds[index] if index < len(kinds) else -1
    return api.RequestClass(
        name=row["name"], aim_us=row["onTimeUs"], deadline_us=row["hardLimitUs"],
        idempotency=api.Idempotency(row.get("idempotency", "safe")), group=row.get("group") or "all",
        window_us=row.get("windowUs") or 0, worth=1.0 if row.get("importance") is None else row["importance"],
        stretch=(stretches[index] if index < len(stretches) else 0.0) + (row.get("aimStretch") or 0.0),
        late_share=row.get("lateShare") or 0.0, stream=bool(row.get("stream")),
        kind=conf["kinds"][kind_index] if kind_index >= 0 else None)


def report_fields(conf: Fields) -> list[str | None]:
    """Returns the LoadReport field for each position of a reported row; None where there is none."""
    domain = conf.get("domain") or {}
    custom = {name: _MEANINGS.get(domain.get(f"report{name.upper()}") or "") for name in ("x0", "x1")}
    names = (conf.get("report") or {}).get("names") or []
    return [_REPORTED.get(name) or custom.get(name) for name in names]


def read_settings(conf: Fields) -> api.Settings | ValueError:
    """Returns the settings, or the error that makes them invalid."""
    try:
        return build_settings(conf)
    except ValueError as error:
        return error


def build_settings(conf: Fields) -> api.Settings:
    """Translates the settings key by key; absent keys get neutral values. Raises ValueError if invalid."""
    permissions, contract = conf.get("permissions") or {}, conf.get("contract") or {}
    prices, domain = conf.get("prices") or {}, conf.get("domain") or {}
    source = (conf.get("report") or {}).get("source")
    return api.Settings(
        classes=tuple(read_class(conf, index) for index in range(len(conf["classes"]))),
        zone=conf.get("locality") or "", number=conf.get("myNumber") or 0,
        fleet_size=conf.get("fleetSize") or 1, tick_us=conf.get("tickUs") or 1000,
        load_source=_SOURCES.get(source or "", api.LoadSource.NONE),
        reports_memory="free_memory" in report_fields(conf),
        may_probe=bool(permissions.get("probes")), may_cancel=bool(permissions.get("cancel")),
        second_copies=bool(permissions.get("secondCopies")), attempt_cap=permissions.get("sendCap") or 1,
        retry_after=bool(permissions.get("retryAfter")),
        max_retry_after_us=permissions.get("maxRetryAfterUs") or 0,
        connection_idle_us=permissions.get("connIdleUs") or 0,
        drain_limit_us=contract.get("stopSendingWithinUs") or 0,
        roster_on_request=conf.get("discovery") == "subscribe",
        ask_within_us=contract.get("askWithinUs") or 0, answer_slack_us=contract.get("answerSlackUs") or 0,
        cold_from=contract.get("coldFrom") or 1.0, cold_us=contract.get("coldUs") or 0,
        overload_factor=contract.get("overloadFactor") or 1.0,
        overload_for_us=contract.get("overloadForUs") or 0,
        tells_start=bool(domain.get("tellsStart")), progress_us=domain.get("progressUs") or 0,
        worth_by_work=conf.get("valueBy") == "work",
        over_share_worth=1.0 if conf.get("overShareWorth") is None else conf["overShareWorth"],
        tenants=tuple(
            api.Tenant(t["name"], t.get("share") or 0.0, t.get("quotaPerS") or 0.0)
            for t in conf.get("tenants") or []),
        prices=api.Prices(
            cross_zone=prices.get("crossZone") or 0.0, probe=prices.get("probe") or 0.0,
            connection=prices.get("connection") or 0.0, handshake=prices.get("handshake") or 0.0,
            origin=prices.get("origin") or 0.0, waste=prices.get("waste") or 0.0,
            late_fail=prices.get("lateFail") or 0.0))


class Instance:
    """One dispatcher and the field names of its report rows. Its methods translate incoming messages."""

    def __init__(self, report_names: list[str | None], dispatcher: Dispatcher) -> None:
        self.report_names, self.dispatcher = report_names, dispatcher

    def report(self, fields: Fields) -> api.LoadReport | None:
        """Returns the load report of a message, if it has one."""
        usage = fields.get("usage")
        if not usage:
            return None
        named = {name: value for name, value in zip(self.report_names, usage, strict=False) if name}
        return api.LoadReport(**named)

    def roster(self, fields: Fields) -> api.Event:
        return api.RosterUpdate(
            _MODES[fields["mode"]],
            tuple(
                api.RosterEntry(
                    e["worker"], e.get("az") or "", e.get("model") or "", e.get("pack") or 0,
                    e.get("launchedUs") or 0, _LIFECYCLES[e.get("lifecycle") or "in_service"],
                    e.get("weight") or 1.0)
                for e in fields.get("elements") or []))

    def arrival(self, fields: Fields) -> api.Event:
        return api.Arrival(
            fields["msgId"], fields.get("lane") or "", fields["deadlineUs"], fields.get("entity"),
            fields.get("party") or None, fields.get("effortUs"), fields.get("width") or 1.0,
            fields.get("ramUnits") or 0.0, bool(fields.get("resent")))

    def ended(self, fields: Fields) -> api.Event:
        return api.AttemptEnded(
            fields["msgId"], fields["sendNo"], fields["worker"], _STATUS[fields["status"]],
            fields.get("lagUs") or 0, bool(fields.get("final")), self.report(fields))

    def checked(self, fields: Fields) -> api.Event:
        return api.ProbeEnded(
            fields["worker"], _STATUS[fields["status"]], fields.get("lagUs") or 0, self.report(fields))

    def progress(self, fields: Fields) -> api.Event:
        done = None if fields.get("kind") == _STARTED else fields.get("level") or 0.0
        return api.AttemptProgress(fields["msgId"], fields["sendNo"], done)


_EVENTS: dict[str, Callable[[Instance, Fields], api.Event]] = {
    "FLEET": Instance.roster,
    "INBOUND": Instance.arrival,
    "OUTCOME": Instance.ended,
    "CHECKED": Instance.checked,
    "PROGRESS": Instance.progress,
    "HEADERS": lambda _, f: api.StreamStarted(f["msgId"], f["sendNo"]),
    "ELAPSED": lambda _, f: api.TimerFired(f["handle"]),
    "WITHDRAWN": lambda _, f: api.Withdrawn(f["msgId"]),
    "NEIGHBOUR_SAYS": lambda _, f: api.PeerMessage(f.get("sender") or 0, f.get("body") or ""),
}

_ACTIONS: dict[type, Callable[[Any], Fields]] = {
    api.Send: lambda a: {"PLACE": {"msgId": a.request, "worker": a.worker, "capUs": a.timeout_us}},
    api.Probe: lambda a: {"POLL": {"worker": a.worker}},
    api.Refuse: lambda a: {"REJECT": {"msgId": a.request, "backoffUs": a.retry_after_us}},
    api.Fail: lambda a: {"RESPOND_ERROR": {"msgId": a.request}},
    api.Cancel: lambda a: {"ABORT_ATTEMPT": {"msgId": a.request, "sendNo": a.attempt}},
    api.SetTimer: lambda a: {"NOTIFY_ME": {"offsetUs": a.delay_us, "handle": a.handle}},
    api.Subscribe: lambda a: {"LISTEN": {"want": True}},
    api.FetchRoster: lambda a: {"LOOKUP": {}},
    api.Log: lambda a: {"DEBUG": {"words": a.text}},
}


class Host:
    """The dispatchers of one process, by name."""

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}

    def reply(self, line: str) -> str:
        """Returns the reply to one batch. Raises WireError if the line is malformed."""
        try:
            batch = json.loads(line)
            now_us, groups = batch["tsUs"], batch["groups"]
            replies = [self._answer(now_us, g["schedulerId"], g.get("in") or []) for g in groups]
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise WireError(f"malformed batch: {type(error).__name__}: {error}") from error
        return json.dumps({"groups": [g for g in replies if g["orders"]]}, separators=(",", ":"))

    def _answer(self, now_us: int, name: str, messages: list[Fields]) -> Fields:
        """Returns an instance's orders for its messages; those before a CREATE or RETIRE are dropped."""
        events: list[api.Event] = []
        for message in messages:
            ((message_type, fields),) = message.items()
            if message_type in ("CREATE", "RETIRE"):
                events = []
                self.instances.pop(name, None)
            if message_type == "CREATE":
                settings, seed = read_settings(fields["conf"]), fields["rngSeed"]
                if isinstance(settings, ValueError):
                    return {"schedulerId": name, "orders": [failure_order(settings)]}
                self.instances[name] = Instance(report_fields(fields["conf"]), Dispatcher(settings, seed))
            elif message_type in _EVENTS and name in self.instances:
                events.append(_EVENTS[message_type](self.instances[name], fields))
        instance = self.instances.get(name)
        try:
            actions = instance.dispatcher.handle(now_us, events) if instance else []
        except Exception as error:  # the protocol reports any failure of the decision code
            return {"schedulerId": name, "orders": [failure_order(error)]}
        return {"schedulerId": name, "orders": [_ACTIONS[type(action)](action) for action in actions]}


def failure_order(error: Exception) -> Fields:
    """Returns the order that reports a failure of the decision code."""
    return {"GIVE_IN": {"words": f"{type(error).__name__}: {error}"}}


def serve(lines: TextIO, out: TextIO) -> None:
    """Answers every batch until the input ends."""
    host = Host()
    for line in lines:
        if line.strip():
            out.write(host.reply(line) + "\n")
            out.flush()


def main() -> int:
    """Runs the adapter; a malformed line ends it with one message on standard error."""
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"arrowfold: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
