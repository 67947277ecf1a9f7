"""A small HTTP/1.1 server based on h11."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING

import anyio
import h11
import msgspec

from wagtailkeel_transport.errors import BindError
from wagtailkeel_transport.log import logger
from wagtailkeel_transport.requests_in_progress import RequestsInProgress

if TYPE_CHECKING:
    from collections import Counter

    from anyio.abc import Listener
    from anyio.abc import SocketStream
    from anyio.abc import TaskStatus

MAX_BODY_BYTES = 1_048_576
READ_BYTES = 65_536
IDLE_TIMEOUT_S = 30.0
"""A connection without data for this long is closed, since its peer may have disappeared."""
DRAIN_TIMEOUT_S = 1.0
"""A stop waits this long at most for the answers to the requests in progress."""
JSON_TYPE = "application/json"


class Response(msgspec.Struct):
    """A response; ``location`` (the Location header) identifies another instance to query."""

    status: HTTPStatus
    body: bytes = b"{}"
    location: str = ""
    content_type: str = JSON_TYPE

    @classmethod
    def error(cls, status: HTTPStatus, reason: str) -> Response:
        """Return a response whose JSON body gives the reason of the error."""
        return cls(status, msgspec.json.encode({"error": reason}))


Handler = Callable[[str, str, bytes], Awaitable[Response]]
"""Called with method, path and body."""


class HttpServer:
    """Serves HTTP on one address, as a role of the daemon."""

    def __init__(self, address: tuple[str, int], handler: Handler, counters: Counter[str]) -> None:
        self._address = address
        self._handler = handler
        self._counters = counters
        self._listener: Listener[SocketStream] | None = None
        self._in_progress = RequestsInProgress()
        self._is_draining = False

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Serve until cancelled."""
        host, port = self._address
        try:
            listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        except OSError as error:
            raise BindError(host, port, error) from error
        self._listener = listener
        try:
            async with anyio.create_task_group() as connections:
                task_status.started()
                try:
                    await listener.serve(self._serve_connection, connections)
                except* anyio.ClosedResourceError:
                    if not self._is_draining:
                        raise
        finally:
            with anyio.CancelScope(shield=True):
                await listener.aclose()

    async def stop(self) -> None:
        """Do nothing: requests are answered while the other roles stop."""

    async def drain(self) -> None:
        """Stop accepting connections, and wait for the answers to the requests in progress."""
        self._is_draining = True
        if self._listener is not None:
            await self._listener.aclose()
        if not await self._in_progress.wait_until_answered(DRAIN_TIMEOUT_S):
            self._counters["http_unanswered"] += len(self._in_progress)
            logger.warning("stopped with {} requests unanswered", len(self._in_progress))

    async def _serve_connection(self, stream: SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        async with stream:
            try:
                while await self._serve_request(stream, connection):
                    connection.start_next_cycle()
            except h11.RemoteProtocolError as error:
                self._counters["http_malformed"] += 1
                await self._reply_malformed(stream, connection, error)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
                self._counters["http_connections_lost"] += 1

    async def _serve_request(self, stream: SocketStream, connection: h11.Connection) -> bool:
        """Answer one request; return whether the connection can carry another."""
        request: h11.Request | None = None
        body = bytearray()
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                if not await _receive(stream, connection):
                    return False
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    self._counters["http_too_large"] += 1
                    return False
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return False
        assert request is not None, "h11 returns the request event before the end of the message"
        with self._in_progress.track():
            response = await self._handle_request(request, bytes(body))
            await _send(stream, connection, response, must_close=self._is_draining)
        return connection.our_state is h11.DONE and connection.their_state is h11.DONE

    async def _handle_request(self, request: h11.Request, body: bytes) -> Response:
        method, target = request.method.decode("ascii"), request.target.decode("ascii", "replace")
        try:
            return await self._handler(method, target.partition("?")[0], body)
        except Exception:
            # A failing handler must not end the server's task.
            logger.exception("{} {} failed", method, target)
            self._counters["http_failures"] += 1
            return Response.error(HTTPStatus.INTERNAL_SERVER_ERROR, "internal error")

    async def _reply_malformed(
        self, stream: SocketStream, connection: h11.Connection, error: h11.RemoteProtocolError
    ) -> None:
        if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        response = Response.error(HTTPStatus(error.error_status_hint), str(error))
        try:
            await _send(stream, connection, response)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            self._counters["http_connections_lost"] += 1


async def _receive(stream: SocketStream, connection: h11.Connection) -> bool:
    with anyio.move_on_after(IDLE_TIMEOUT_S):
        try:
            connection.receive_data(await stream.receive(READ_BYTES))
        except anyio.EndOfStream:
            connection.receive_data(b"")
        return True
    return False


async def _send(
    stream: SocketStream,
    connection: h11.Connection,
    response: Response,
    *,
    must_close: bool = False,
) -> None:
    headers = [("Content-Type", response.content_type), ("Content-Length", str(len(response.body)))]
    if must_close:
        headers.append(("Connection", "close"))
    if response.location:
        headers.append(("Location", response.location))
    response_head = h11.Response(
        status_code=response.status, reason=response.status.phrase, headers=headers
    )
    chunks = [connection.send(response_head), connection.send(h11.Data(data=response.body))]
    chunks.append(connection.send(h11.EndOfMessage()))
    await stream.send(b"".join(chunk for chunk in chunks if chunk))
