"""HTTP interface of a control node for workers and the operator: Sanic in the running event loop."""

from __future__ import annotations

import asyncio
from typing import Any

from result import Err
from sanic import HTTPResponse, Request, Sanic
from sanic.response import raw
from sanic.server import AsyncioServer

from arrowfold.controlplane.changes import ConfigurationService, fault_body
from arrowfold.controlplane.registration import RegistrationFault, RegistrationService, parse_registration
from arrowfold.internal.messages import SubmitChange, SubmitDeparture, SubmitResult
from arrowfold.node.result_codes import ResultCode
from arrowfold.registry.workers import GONE

MAX_BODY_BYTES = 6 * 1024 * 1024  # of a submitted configuration; below the largest internal frame
JSON = "application/json"
DRAIN_POLL_INTERVAL_S = 0.02  # between checks for calls in progress while the server stops


def _json_response(status: int, body: bytes) -> HTTPResponse:
    return raw(body, status=status, content_type=JSON)


def _submission_response(result: SubmitResult) -> HTTPResponse:
    return _json_response(result.status, result.body)


def _refusal_response(fault: RegistrationFault) -> HTTPResponse:
    status = 400 if fault.code == ResultCode.REGISTRATION_INVALID else 503
    return _json_response(status, fault_body(fault.code, str(fault)))


def build_application(
    configurations: ConfigurationService, registrations: RegistrationService
) -> Sanic[Any, Any]:
    """Builds the application with the routes of the control API."""
    application: Sanic[Any, Any] = Sanic("arrowfold-control", configure_logging=False)
    application.config.ACCESS_LOG = False
    application.config.REQUEST_MAX_SIZE = MAX_BODY_BYTES
    application.config.MOTD = False
    application.config.KEEP_ALIVE_TIMEOUT = 60

    async def change_configuration(request: Request) -> HTTPResponse:
        change = SubmitChange(request.method, request.headers.get("if-match"), request.body)
        return _submission_response(await configurations.submit(change))

    async def read_configuration(_: Request) -> HTTPResponse:
        return _submission_response(await configurations.read())

    async def register(request: Request, instance: str) -> HTTPResponse:
        parsed = parse_registration(instance, request.body)
        if isinstance(parsed, Err):
            return _refusal_response(parsed.err_value)
        accepted = await registrations.register(parsed.ok_value)
        return (
            _refusal_response(accepted.err_value) if isinstance(accepted, Err) else _json_response(200, b"{}")
        )

    async def deregister(_: Request, instance: str) -> HTTPResponse:
        accepted = await registrations.depart(SubmitDeparture(instance, GONE))
        return (
            _refusal_response(accepted.err_value) if isinstance(accepted, Err) else _json_response(200, b"{}")
        )

    application.add_route(change_configuration, "/configuration", methods=["PUT", "PATCH"])
    application.add_route(read_configuration, "/configuration", methods=["GET"], name="read_configuration")
    application.add_route(register, "/instances/<instance:str>", methods=["PUT"])
    application.add_route(deregister, "/instances/<instance:str>", methods=["DELETE"], name="deregister")
    return application


class ControlHttpServer:
    """The listening HTTP server; its graceful stop answers every call that was read."""

    def __init__(self, server: AsyncioServer) -> None:
        self._server = server

    async def end(self, timeout_s: float) -> None:
        """Stops accepting connections, answers calls in progress for at most `timeout_s`, then closes."""
        self._server.close()  # type: ignore[no-untyped-call]
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while self._close_idle() and loop.time() < deadline_s:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        for connection in list(self._server.connections):
            connection.close()

    def _close_idle(self) -> bool:
        """Closes idle connections; returns whether others are left."""
        connections = list(self._server.connections)
        return not all([connection.close_if_idle() for connection in connections])


async def serve(application: Sanic[Any, Any], address: str) -> ControlHttpServer:
    """Starts listening at `address` (HOST:PORT) in the running event loop."""
    host, port = address.rsplit(":", 1)
    server = await application.create_server(
        host=host, port=int(port), backlog=512, access_log=False, return_asyncio_server=True
    )
    assert server is not None
    await server.startup()  # type: ignore[no-untyped-call]
    await server.start_serving()  # type: ignore[no-untyped-call]
    return ControlHttpServer(server)
