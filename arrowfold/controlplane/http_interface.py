"""The HTTP interface of a control node for workers and the operator: Sanic in the running event loop."""

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

LARGEST_BODY = 6 * 1024 * 1024  # bytes of a configuration as it is sent; below the largest internal frame
JSON = "application/json"
CLOSING_LOOK_S = 0.02  # between looks at what is under way while the server ends


def _json(status: int, body: bytes) -> HTTPResponse:
    return raw(body, status=status, content_type=JSON)


def _submitted(result: SubmitResult) -> HTTPResponse:
    return _json(result.status, result.body)


def _registration_refused(fault: RegistrationFault) -> HTTPResponse:
    status = 400 if fault.code == ResultCode.REGISTRATION_INVALID else 503
    return _json(status, fault_body(fault.code, str(fault)))


def build_application(
    configurations: ConfigurationService, registrations: RegistrationService
) -> Sanic[Any, Any]:
    """The routes of the control API."""
    application: Sanic[Any, Any] = Sanic("arrowfold-control", configure_logging=False)
    application.config.ACCESS_LOG = False
    application.config.REQUEST_MAX_SIZE = LARGEST_BODY
    application.config.MOTD = False
    application.config.KEEP_ALIVE_TIMEOUT = 60

    async def change_configuration(request: Request) -> HTTPResponse:
        change = SubmitChange(request.method, request.headers.get("if-match"), request.body)
        return _submitted(await configurations.submit(change))

    async def read_configuration(_: Request) -> HTTPResponse:
        return _submitted(await configurations.read())

    async def register(request: Request, instance: str) -> HTTPResponse:
        parsed = parse_registration(instance, request.body)
        if isinstance(parsed, Err):
            return _registration_refused(parsed.err_value)
        taken = await registrations.heard(parsed.ok_value)
        return _registration_refused(taken.err_value) if isinstance(taken, Err) else _json(200, b"{}")

    async def deregister(_: Request, instance: str) -> HTTPResponse:
        taken = await registrations.depart(SubmitDeparture(instance, GONE))
        return _registration_refused(taken.err_value) if isinstance(taken, Err) else _json(200, b"{}")

    application.add_route(change_configuration, "/configuration", methods=["PUT", "PATCH"])
    application.add_route(read_configuration, "/configuration", methods=["GET"], name="read_configuration")
    application.add_route(register, "/instances/<instance:str>", methods=["PUT"])
    application.add_route(deregister, "/instances/<instance:str>", methods=["DELETE"], name="deregister")
    return application


class ControlHttpServer:
    """The listening interface; ended in order, so that no call that was read goes without its answer."""

    def __init__(self, server: AsyncioServer) -> None:
        self._server = server

    async def end(self, patience_s: float) -> None:
        """Take no new connections, answer what is under way for at most `patience_s`, then close."""
        self._server.close()  # type: ignore[no-untyped-call]
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + patience_s
        while self._close_idle() and loop.time() < deadline_s:
            await asyncio.sleep(CLOSING_LOOK_S)
        for connection in list(self._server.connections):
            connection.close()

    def _close_idle(self) -> bool:
        """Close the connections that wait for a call; whether others are left."""
        connections = list(self._server.connections)
        return not all([connection.close_if_idle() for connection in connections])


async def serve(application: Sanic[Any, Any], address: str) -> ControlHttpServer:
    """Listen at HOST:PORT in the running event loop."""
    host, port = address.rsplit(":", 1)
    server = await application.create_server(
        host=host, port=int(port), backlog=512, access_log=False, return_asyncio_server=True
    )
    assert server is not None
    await server.startup()  # type: ignore[no-untyped-call]
    await server.start_serving()  # type: ignore[no-untyped-call]
    return ControlHttpServer(server)
