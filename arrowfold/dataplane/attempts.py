"""State of one client request while it is forwarded: attempts made, deadline, and stream position."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from arrowfold.configuration.routes import Route
from arrowfold.configuration.tenants import Tenant
from arrowfold.dataplane.credentials import NO_CREDENTIALS, Credentials
from arrowfold.dataplane.exchange import ClientRequest, ConnectionHistory
from arrowfold.dataplane.headers import (
    ATTEMPT_ID,
    DEADLINE_MS,
    LAST_EVENT_ID,
    MODEL,
    PROMPT_PREFIX,
    TOKEN_USAGE,
    find,
    parse_model,
    parse_number,
    parse_prompt_parts,
    parse_token_usage,
)
from arrowfold.dataplane.request_trace import RequestTrace
from arrowfold.selection.interface import RequestProfile

STREAMING = "streaming"  # the kind of a route


@dataclass(slots=True)
class RequestProgress:
    """State of one client request.

    `attempts_used` counts the attempts that a worker may have executed, or refused for lack of capacity.
    """

    request: ClientRequest
    route: Route
    service: str
    profile: RequestProfile
    attempt_id: str
    deadline_s: float
    attempts_used: int = 0
    deliveries: int = 0  # attempts that reached a worker, including misdirected ones
    misdirections: int = 0  # deliveries to workers that did not have the model
    may_have_run: bool = False
    tried_instances: set[str] = field(default_factory=set)  # that are not chosen for now
    delivered_to: set[str] = field(default_factory=set)  # instances that were sent the request
    last_event_id: int | None = None
    events_forwarded: int = 0
    last_event_s: float | None = None  # when the latest event was forwarded
    stream_versions: str | None = None
    interrupted_at_s: float | None = None  # when the last attempt was lost, or its stream fell silent
    connections: ConnectionHistory = field(default_factory=ConnectionHistory)
    trace: RequestTrace = field(default_factory=lambda: RequestTrace(0.0))
    credentials: Credentials = NO_CREDENTIALS
    tenant: Tenant | None = None  # owner of the key, as of the last key check
    hides_key: bool = False  # Authorization may hold a tenant's key and is not forwarded to workers
    is_counted_for_tenant: bool = False  # in its usage: once per request, however many workers run it

    @property
    def can_retry(self) -> bool:
        """Whether the route permits one more attempt, before the retry budget is checked."""
        if self.attempts_used >= self.route.max_attempts:
            return False
        return self.route.repeatable or not self.may_have_run

    @property
    def excluded_instances(self) -> set[str]:
        """The instances that must not be chosen.

        An answer names its try, not its send, and a worker may answer twice, on any of its connections. So a
        worker gets a try once, but for a stream, whose events show what they belong to.
        """
        if self.route.kind == STREAMING:
            return self.tried_instances
        return self.tried_instances | self.delivered_to

    def undo_delivery(self, may_have_run: bool) -> None:
        """Uncount an attempt that was not sent; `may_have_run`: as it was before."""
        self.attempts_used -= 1
        self.deliveries -= 1
        self.may_have_run = may_have_run

    def set_tenant(self, tenant: Tenant | None) -> None:
        """Set the owner of the key, whose priority overrides that of the route."""
        if tenant == self.tenant:
            return
        self.tenant = tenant
        self.profile = replace(self.profile, priority=_priority(self.route, tenant))


def _priority(route: Route, tenant: Tenant | None) -> int:
    if tenant is None or tenant.priority is None:
        return route.priority
    return tenant.priority


def create_progress(
    request: ClientRequest,
    route: Route,
    service: str,
    credentials: Credentials = NO_CREDENTIALS,
    tenant: Tenant | None = None,
) -> RequestProgress:
    """Returns the state of a request that has just arrived, with its profile for worker selection."""
    headers = request.headers
    attempt_id = find(headers, ATTEMPT_ID) or ""
    client_deadline_ms = parse_number(find(headers, DEADLINE_MS))
    time_limit_s = (
        route.timeout_s if client_deadline_ms is None else min(route.timeout_s, client_deadline_ms / 1000)
    )
    model, adapter = parse_model(find(headers, MODEL))
    prompt_tokens, output_tokens = parse_token_usage(find(headers, TOKEN_USAGE))
    last_event_id = find(headers, LAST_EVENT_ID)
    profile = RequestProfile(
        request=attempt_id,
        route=route.name,
        service=service,
        model=model,
        adapter=adapter,
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        parts=parse_prompt_parts(find(headers, PROMPT_PREFIX)),
        priority=_priority(route, tenant),
        streaming=route.kind == STREAMING,
        idempotent=route.repeatable,
        arrived_s=request.arrived_s,
        latency_objective_s=route.latency_objective_s,
        deadline_s=request.arrived_s + time_limit_s,
        attempts_left=route.max_attempts,
        pause_objective_s=route.gap_objective_s or 0.0,
        client_wait_s=time_limit_s if client_deadline_ms is None else client_deadline_ms / 1000,
    )
    return RequestProgress(
        request=request,
        route=route,
        service=service,
        profile=profile,
        attempt_id=attempt_id,
        deadline_s=profile.deadline_s,
        last_event_id=int(last_event_id) if last_event_id is not None and last_event_id.isdigit() else None,
        trace=RequestTrace(request.arrived_s),
        credentials=credentials,
        tenant=tenant,
    )
