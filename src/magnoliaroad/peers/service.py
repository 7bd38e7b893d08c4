"""Sends and receives messages between hosts over TCP."""

import asyncio
import contextlib
import inspect
import time
from collections import deque
from collections.abc import Iterable
from typing import Any

from loguru import logger
from mode import Service
from typing_extensions import override

from magnoliaroad.background import background_task
from magnoliaroad.listening import listening_socket, open_when_free
from magnoliaroad.memory.settings import MemorySettings
from magnoliaroad.peers.address import PeerAddress
from magnoliaroad.peers.catalogue import (
    MessageCatalogue,
    UnknownMessage,
    message_tag,
)
from magnoliaroad.peers.connection import PeerConnection
from magnoliaroad.peers.errors import PeerError
from magnoliaroad.peers.frame import Frame, FrameKind, pack_frame
from magnoliaroad.peers.frame_memory import FrameMemory
from magnoliaroad.peers.inbound import (
    BUFFER_BYTES,
    LARGE_REPLY_BYTES,
    MAX_READ_BYTES,
    PAUSE_S,
    InboundConnection,
)
from magnoliaroad.peers.interface import Handler, Peers
from magnoliaroad.peers.metrics import LOST
from magnoliaroad.peers.settings import PeerSettings
from magnoliaroad.processor_time import PROCESSOR_SECONDS, measured
from magnoliaroad.receive_buffers import (
    ReceiveBuffer,
    ReceivePool,
    limit_receive_buffer,
)
from magnoliaroad.verdict import Verdict

DEFAULT_MEMORY = MemorySettings()
# Least that the kernel holds of messages on one connection, in bytes; most fit into it.
LEAST_RECEIVE_BYTES = 16_384
# Silence of a peer after which it counts as stalled if it was to go on, in seconds;
# several round trips between continents.
STALL_S = 0.5
# Time between checks for connections without messages, in seconds.
SILENCE_CHECK_S = 1.0
# Longest text of an error, in characters; it may quote the message.
MAX_ERROR_CHARS = 200


class PeerService(Service, Peers):
    """Listens for peers and keeps one outgoing connection to each.

    Args:
        cfg: Settings of the connections.
        name: Name of this host.
        address: IP address to listen on.
        port: TCP port to listen on; 0 picks a free one.
        memory: Memory of the process, parts of which its connections may hold.
    """

    def __init__(
        self,
        cfg: PeerSettings,
        name: str,
        address: str,
        port: int,
        memory: MemorySettings = DEFAULT_MEMORY,
    ) -> None:
        super().__init__()
        self.cfg = cfg
        self._receive_pool = ReceivePool(memory.receive_bytes)
        self._max_unread_bytes = memory.unread_bytes
        self.name = name
        self.address = address
        self.port = port
        self._catalogue = MessageCatalogue()
        self._handlers: dict[Any, Handler] = {}
        self._sync_handlers: dict[str, Handler] = {}
        self._addresses: dict[str, PeerAddress] = _seed_addresses(cfg)
        self._connections: dict[str, PeerConnection] = {}
        self._connect_locks: dict[str, asyncio.Lock] = {}
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._inbound: set[InboundConnection] = set()
        self._running = 0
        self._frame_memory = FrameMemory()
        self._server: asyncio.Server | None = None

    @override
    def on(self, kind: Any, handler: Handler, reply: Any = None) -> None:
        self._catalogue.add(kind)
        if reply is not None:
            self._catalogue.add(reply)
        if inspect.iscoroutinefunction(handler):
            self._handlers[kind] = handler
        else:
            self._sync_handlers[message_tag(kind)] = handler

    @override
    def register_replies(self, *replies: Any) -> None:
        for kind in replies:
            self._catalogue.add(kind)

    @override
    def set_addresses(self, addresses: list[PeerAddress]) -> None:
        known = {a.host: a for a in addresses if a.host != self.name}
        for host, conn in list(self._connections.items()):
            if self._addresses.get(host) != known.get(host):
                conn.close()
                del self._connections[host]
        self._addresses = known

    @override
    def addresses(self) -> list[PeerAddress]:
        return list(self._addresses.values())

    @override
    async def call(
        self, host: str, message: Any, timeout_s: float | None = None
    ) -> Any:
        tag, fields = self._catalogue.pack(message)
        conn = await self._connect(host)
        frame = await conn.call(tag, fields, timeout_s or self.cfg.call_timeout_s)
        if frame.kind == FrameKind.ERROR:
            raise PeerError(f"{host}: {frame.tag}", Verdict.MAY_HAVE_RUN)
        if not frame.tag:
            return None
        return self._catalogue.unpack(frame.tag, frame.fields)

    @override
    def send(self, host: str, message: Any) -> None:
        self.send_all((host,), message)

    @override
    def send_all(self, hosts: Iterable[str], message: Any) -> None:
        packed: tuple[Frame, bytes] | None = None
        for host in hosts:
            conn = self._connections.get(host)
            if conn is None or conn.closed:
                lock = self._connect_locks.get(host)
                # Messages to an unresponsive peer must not queue up behind its connect.
                if lock is None or not lock.locked():
                    self._spawn(self._send(host, message))
                continue
            packed = packed or self._pack_one_way(message)
            with contextlib.suppress(PeerError):
                conn.send(*packed)

    def _pack_one_way(self, message: Any) -> tuple[Frame, bytes]:
        frame = Frame(FrameKind.SEND, 0, *self._catalogue.pack(message))
        return frame, pack_frame(frame)

    def held_bytes(self) -> int:
        """Returns the bytes that the process holds for peers and of them."""
        inbound = sum(conn.held_bytes() for conn in self._inbound)
        return inbound + sum(conn.unsent_bytes() for conn in self._connections.values())

    def shed(self, size: int) -> int:
        """Closes connections of peers that stopped, until ``size`` bytes are free.

        Returns:
            How many bytes they held.
        """
        freed, since = 0, time.monotonic() - STALL_S
        stalled = [conn for conn in self._inbound if conn.heard_at < since]
        # Of two peers the one that was heard later is more likely to go on.
        for conn in sorted(stalled, key=lambda conn: conn.heard_at):
            if freed >= size:
                break
            held = conn.held_bytes()
            if held:
                _close_stalled(conn)
                freed += held
        return freed

    async def on_start(self) -> None:
        """Starts listening."""
        self._server = await open_when_free(self._listen, f"{self.address}:{self.port}")
        self.port = self._server.sockets[0].getsockname()[1]

    async def _listen(self) -> asyncio.Server:
        sock = listening_socket(self.address, self.port)
        limit_receive_buffer(sock, LEAST_RECEIVE_BYTES)
        return await asyncio.start_server(
            self._serve_connection, sock=sock, limit=BUFFER_BYTES
        )

    async def on_stop(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        for conn in self._connections.values():
            conn.close()
        for inbound in self._inbound:
            inbound.close()
        for task in list(self._background_tasks):
            task.cancel()

    async def _send(self, host: str, message: Any) -> None:
        try:
            conn = await self._connect(host)
            conn.send(*self._pack_one_way(message))
        except PeerError as exc:
            name = message_tag(type(message))
            logger.bind(host=host, message=name, reason=str(exc)).debug("message lost")

    async def _connect(self, host: str) -> PeerConnection:
        lock = self._connect_locks.setdefault(host, asyncio.Lock())
        async with lock:
            conn = self._connections.get(host)
            if conn is not None and not conn.closed:
                return conn
            address = self._addresses.get(host)
            if address is None:
                raise PeerError(f"no address of host {host!r}", Verdict.NOT_RUN)
            conn = PeerConnection(self.cfg, self.name, self._frame_memory)
            await conn.open(address.address, address.port)
            self._connections[host] = conn
            return conn

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = InboundConnection(
            writer, ReceiveBuffer(self._receive_pool), self._frame_memory
        )
        self._inbound.add(conn)
        try:
            while data := await reader.read(MAX_READ_BYTES):
                received = deque(conn.feed(data))
                # No variable keeps the last frame until the next one.
                while received:
                    while not conn.may_read(self._running):
                        await asyncio.sleep(PAUSE_S)
                    self._dispatch(conn, received.popleft())
                    if conn.unsent_bytes():
                        await conn.drain()
        except (OSError, ValueError) as exc:
            logger.bind(host=conn.sender, reason=repr(exc)).debug(
                "peer connection ended"
            )
            if conn.unsent_bytes():
                _report_unread(conn)
        finally:
            self._inbound.discard(conn)
            conn.close()

    @background_task
    async def _close_silent(self) -> None:
        """Closes connections whose peer is gone or does not read its replies.

        One check of all costs less than a timeout that each message reschedules.
        """
        # The peer closes an idle connection after ``idle_timeout_s``.
        limit_s = self.cfg.silence_timeout_s + self.cfg.idle_timeout_s
        while not self.should_stop:
            await asyncio.sleep(SILENCE_CHECK_S)
            since = time.monotonic() - limit_s
            for conn in [conn for conn in self._inbound if conn.heard_at < since]:
                logger.bind(host=conn.sender, silent_s=limit_s).debug(
                    "peer connection ended"
                )
                _close_stalled(conn)

    def _dispatch(self, conn: InboundConnection, frame: Frame) -> None:
        if frame.kind == FrameKind.HEARTBEAT:
            conn.sender = frame.tag
            self._write(conn, frame._replace(fields=()))
            return
        if self._call_plain(conn, frame):
            return
        try:
            message = self._catalogue.unpack(frame.tag, frame.fields)
            handler = self._handlers[type(message)]
        except UnknownMessage as exc:
            self._reply(conn, frame, _error(frame, str(exc)))
        except Exception as exc:
            self._handler_failed(conn, frame, exc)
        else:
            conn.running += 1
            self._running += 1
            # Without the bytes of the fields, which may be large.
            asked = Frame(frame.kind, frame.number, frame.tag)
            self._spawn(self._call_handler(conn, asked, handler, message))

    def _call_plain(self, conn: InboundConnection, frame: Frame) -> bool:
        """Calls the plain function for a message; returns whether there is one.

        Plain functions are called at once, without a task, and see messages in order.
        """
        handler = self._sync_handlers.get(frame.tag)
        if handler is None:
            return False
        began = time.thread_time()
        try:
            message = self._catalogue.unpack(frame.tag, frame.fields)
            reply = handler(conn.sender, message)
            if frame.kind == FrameKind.REQUEST:
                self._reply(conn, frame, self._pack_reply(frame, reply))
        except UnknownMessage as exc:
            logger.bind(host=conn.sender, message=frame.tag, reason=str(exc)).warning(
                "message could not be decoded"
            )
            self._reply(conn, frame, _error(frame, str(exc)))
        except Exception as exc:
            self._handler_failed(conn, frame, exc)
        PROCESSOR_SECONDS.charge(_activity(frame.tag), began)
        return True

    def _pack_reply(self, frame: Frame, reply: Any) -> Frame:
        packed = ("", ()) if reply is None else self._catalogue.pack(reply)
        return Frame(FrameKind.REPLY, frame.number, *packed)

    async def _call_handler(
        self, conn: InboundConnection, frame: Frame, handler: Handler, message: Any
    ) -> None:
        try:
            reply = await measured(_activity(frame.tag), handler(conn.sender, message))
            await self._reply_in_turn(conn, frame, self._pack_reply(frame, reply))
        except Exception as exc:
            self._handler_failed(conn, frame, exc)
        finally:
            # A peer that does not read its replies gets no more of them handled.
            with contextlib.suppress(OSError):
                await conn.drain()
            conn.running -= 1
            self._running -= 1

    def _handler_failed(
        self, conn: InboundConnection, frame: Frame, exc: Exception
    ) -> None:
        logger.bind(host=conn.sender, message=frame.tag).opt(exception=exc).error(
            "message handler failed"
        )
        self._reply(conn, frame, _error(frame, repr(exc)))

    def _reply(self, conn: InboundConnection, frame: Frame, reply: Frame) -> None:
        if frame.kind != FrameKind.REQUEST:
            return
        self._write(conn, reply)

    async def _reply_in_turn(
        self, conn: InboundConnection, frame: Frame, reply: Frame
    ) -> None:
        """Writes a reply; a large one once the peer has read those before it."""
        if _size_of(reply) < LARGE_REPLY_BYTES:
            self._reply(conn, frame, reply)
            return
        # Fails if the peer has left, which then gets no reply.
        with contextlib.suppress(OSError):
            async with conn.large_reply:
                await conn.drain()
                self._reply(conn, frame, reply)

    def _write(self, conn: InboundConnection, frame: Frame) -> None:
        conn.write(frame)
        if not conn.unsent_bytes():
            return
        slow = [conn for conn in self._inbound if conn.unsent_bytes()]
        held = sum(conn.held_bytes() for conn in slow)
        # A single reply may be larger than the bound.
        if held > self._max_unread_bytes and len(slow) > 1:
            _close_stalled(max(slow, key=InboundConnection.held_bytes))

    def _spawn(self, coro: Any) -> None:
        task = asyncio.create_task(coro)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)


def _close_stalled(conn: InboundConnection) -> None:
    if conn.unsent_bytes():
        _report_unread(conn)
    conn.close()


def _report_unread(conn: InboundConnection) -> None:
    LOST.inc({"reason": "unread"})
    logger.bind(host=conn.sender, unsent_bytes=conn.unsent_bytes()).warning(
        "peer does not read replies"
    )


def _activity(tag: str) -> str:
    """Returns the name under which the handling of a message is measured."""
    return f"message {tag}"


def _size_of(frame: Frame) -> int:
    """Returns the size of the byte strings among the fields of a frame."""
    return sum(len(field) for field in frame.fields if isinstance(field, bytes))


def _error(frame: Frame, text: str) -> Frame:
    """Returns the reply to a request that failed."""
    return Frame(FrameKind.ERROR, frame.number, text[:MAX_ERROR_CHARS])


def _seed_addresses(cfg: PeerSettings) -> dict[str, PeerAddress]:
    parts = {seed: seed.rpartition(":") for seed in cfg.seeds}
    return {
        seed: PeerAddress(seed, "", address, int(port))
        for seed, (address, _, port) in parts.items()
    }
