"""The protocol of a connection to a worker: hands aiohttp's parser the bytes of the awaited answers alone."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp.client_proto import ResponseHandler
from aiohttp.streams import EMPTY_PAYLOAD

from arrowfold.dataplane.answer_framing import AnswerFramer
from arrowfold.dataplane.answer_heads import AnswerFault, InvalidAnswerError


class AnswerProtocol(ResponseHandler):
    """Parses the answers that are awaited; any other byte makes the connection unusable.

    `on_invalid_answer` is called with the reason when the bytes in place of an awaited answer are none.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.on_invalid_answer: Callable[[AnswerFault], None] = lambda fault: None
        self._framer = AnswerFramer()
        self._is_invalid = False  # no further byte can be attributed

    @property
    def is_clean(self) -> bool:
        """Whether the connection is open, and all bytes received belong to answers that were read."""
        return self.is_connected() and not self.should_close and not len(self) and not self.has_surplus

    @property
    def has_surplus(self) -> bool:
        """Whether bytes were received after the end of the last awaited answer, or before the first."""
        return self._framer.has_surplus

    @property
    def has_trailers(self) -> bool:
        """Whether the latest answer ended with trailers, which aiohttp takes for headers of the next one."""
        return self._framer.has_trailers

    def expect_answer(self) -> None:
        """Await an answer: the next bytes are its head."""
        self._framer.expect_answer()
        self._pass_on(b"")

    def data_received(self, data: bytes) -> None:
        """Process bytes from the worker; with no bytes, go on after a pause."""
        if data:
            self._pass_on(data)
        else:
            super().data_received(data)

    def _pass_on(self, data: bytes) -> None:
        if self._is_invalid:
            return
        try:
            part = self._framer.take(data)
        except InvalidAnswerError as error:
            self._fail(error)
            return
        if part:
            super().data_received(part)

    def _fail(self, error: InvalidAnswerError) -> None:
        """End the exchange: nothing that follows on this connection can be attributed."""
        self._is_invalid = True
        self.on_invalid_answer(error.fault)
        payload = self._payload
        if payload is not None and payload is not EMPTY_PAYLOAD and not payload.is_eof():
            payload.set_exception(error)
        self.set_exception(error)
