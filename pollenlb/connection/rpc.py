"""Typed calls between entry processes and control instances, over gRPC."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Generic, TypeVar

import grpc
import grpc.aio
import msgspec
from result import Err, Ok, Result

from ..events import EventLog
from ..ids import Address

Q = TypeVar("Q")
A = TypeVar("A")

_TIMESTAMP_KEY = "pollenlb-hlc"
# How long other calls may still end on a channel on which one has timed out.
_CLOSE_GRACE_S = 1.0
_CHANNEL_OPTIONS = [
    ("grpc.keepalive_time_ms", 5000),
    ("grpc.keepalive_timeout_ms", 2000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.max_receive_message_length", 64 * 1024 * 1024),
    ("grpc.max_send_message_length", 64 * 1024 * 1024),
]
_SERVER_OPTIONS = [
    ("grpc.so_reuseport", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", 1000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.max_receive_message_length", 64 * 1024 * 1024),
    ("grpc.max_send_message_length", 64 * 1024 * 1024),
]


class Method(Generic[Q, A]):
    """A unary gRPC method with typed MessagePack messages.

    Parameters
    ----------
    service, name : str
        Service and method in the gRPC path.
    request, answer : type
        ``msgspec`` types of the two messages.
    """

    def __init__(self, service: str, name: str, request: type[Q], answer: type[A]):
        self.service = service
        self.name = name
        self.encode = msgspec.msgpack.Encoder().encode
        self.decode_request = msgspec.msgpack.Decoder(request).decode
        self.decode_answer = msgspec.msgpack.Decoder(answer).decode

    @property
    def path(self) -> str:
        """Full gRPC path of the method."""
        return f"/{self.service}/{self.name}"


class CallFailure(msgspec.Struct, frozen=True):
    """A call without an answer; the peer may or may not have executed it.

    Attributes
    ----------
    reason : str
        gRPC status and details, or why the channel was closed.
    """

    reason: str


class RpcChannel:
    """gRPC channel to one process, opened again after a call times out.

    Parameters
    ----------
    address : Address
        Address at which the peer listens.
    events : EventLog
        Supplies the timestamps sent with calls and observes received ones.
    """

    def __init__(self, address: Address, events: EventLog) -> None:
        self._address = address
        self._events = events
        self._channel = self._open()
        self._stubs: dict[str, Any] = {}
        self._closing: set[asyncio.Task] = set()

    @property
    def address(self) -> Address:
        """Address at which the peer listens."""
        return self._address

    async def call(
        self, method: Method[Q, A], request: Q, timeout_s: float
    ) -> Result[A, CallFailure]:
        """Send one request and wait for its answer.

        Parameters
        ----------
        method : Method
            Method to call.
        request : object
            Message of the method's request type.
        timeout_s : float
            Maximum time to wait, in seconds.

        Returns
        -------
        Result
            The answer, or ``CallFailure``. Errors of gRPC are not raised.
        """
        metadata = ((_TIMESTAMP_KEY, str(self._events.clock.tick())),)
        channel = self._channel
        try:
            call = self._stub(method)(request, timeout=timeout_s, metadata=metadata)
            answer = await call
            for key, value in await call.trailing_metadata() or ():
                if key == _TIMESTAMP_KEY:
                    self._events.observe(value)
            return Ok(answer)
        except grpc.aio.AioRpcError as error:
            if error.code() == grpc.StatusCode.DEADLINE_EXCEEDED:
                self._reopen(channel)
            return Err(CallFailure(f"{error.code().name}: {error.details()}"))
        except grpc.aio.UsageError as error:
            return Err(CallFailure(f"channel closed: {error}"))
        except asyncio.CancelledError:
            # gRPC also raises this when the channel is closed. It is propagated
            # only if the task that waits for the call was cancelled itself.
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            return Err(CallFailure("channel closed"))

    async def close(self) -> None:
        """Close the channel; calls in flight fail."""
        await self._channel.close()
        await asyncio.gather(*self._closing, return_exceptions=True)

    def _open(self) -> grpc.aio.Channel:
        return grpc.aio.insecure_channel(self._address, options=_CHANNEL_OPTIONS)

    def _reopen(self, unresponsive: grpc.aio.Channel) -> None:
        # A connection that stopped responding may never recover, although a new
        # one to the same peer works.
        if unresponsive is not self._channel:
            return
        task = asyncio.create_task(unresponsive.close(grace=_CLOSE_GRACE_S))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
        self._channel = self._open()
        self._stubs = {}

    def _stub(self, method: Method) -> Any:
        stub = self._stubs.get(method.path)
        if stub is None:
            stub = self._channel.unary_unary(
                method.path,
                request_serializer=method.encode,
                response_deserializer=method.decode_answer,
            )
            self._stubs[method.path] = stub
        return stub


class RpcServer:
    """gRPC server of one process.

    Parameters
    ----------
    listen : Address
        Address at which to listen.
    events : EventLog
        Supplies the timestamps sent with answers and observes received ones.
    """

    def __init__(self, listen: Address, events: EventLog) -> None:
        self._listen = listen
        self._events = events
        self._handlers: dict[str, dict[str, Any]] = {}
        self._server = grpc.aio.server(options=_SERVER_OPTIONS)

    def register(
        self, method: Method[Q, A], handler: Callable[[Q], Awaitable[A]]
    ) -> None:
        """Register a coroutine function as the handler of a method.

        Must be called before ``start``.
        """

        async def answer(request: Q, context: grpc.aio.ServicerContext) -> A:
            for key, value in context.invocation_metadata() or ():
                if key == _TIMESTAMP_KEY:
                    self._events.observe(value)
            reply = await handler(request)
            timestamp = str(self._events.clock.tick())
            context.set_trailing_metadata(((_TIMESTAMP_KEY, timestamp),))
            return reply

        self._handlers.setdefault(method.service, {})[method.name] = (
            grpc.unary_unary_rpc_method_handler(
                answer,
                request_deserializer=method.decode_request,
                response_serializer=method.encode,
            )
        )

    async def start(self) -> None:
        """Start listening for calls.

        Raises
        ------
        OSError
            When the address cannot be bound.
        """
        for service, handlers in self._handlers.items():
            handler = grpc.method_handlers_generic_handler(service, handlers)
            self._server.add_generic_rpc_handlers((handler,))
        try:
            port = self._server.add_insecure_port(self._listen)
        except RuntimeError as error:
            raise OSError(f"cannot listen on {self._listen}") from error
        if not port:
            raise OSError(f"cannot listen on {self._listen}")
        await self._server.start()

    async def stop(self, grace_s: float = 0.5) -> None:
        """Stop listening; cancel calls still in flight after ``grace_s`` seconds."""
        await self._server.stop(grace_s)
