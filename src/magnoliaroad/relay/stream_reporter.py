"""Reports to record hosts where streams have begun."""

import asyncio
from collections.abc import Iterable, Mapping

from loguru import logger

from magnoliaroad.peers import PeerError, Peers
from magnoliaroad.relay.stream_messages import StreamsBegun
from magnoliaroad.relay.stream_origin import StreamOrigin

# Time limit of a report, in seconds; covers a connection to a busy host.
REPORT_TIMEOUT_S = 1.0
# Attempts to send a report.
REPORT_ATTEMPTS = 2
# Most streams that wait for the report before theirs; more than a host begins while a
# report fails.
MAX_PENDING = 500


class StreamReporter:
    """Sends each record host one report at a time.

    Streams that begin while a report is on its way, or while a connection opens, share
    the next one.
    """

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._pending: dict[str, dict[str, StreamOrigin]] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def report(self, hosts: Iterable[str], stream: str, origin: StreamOrigin) -> None:
        """Reports a stream to ``hosts`` soon."""
        for host in hosts:
            pending = self._pending.setdefault(host, {})
            pending[stream] = origin
            if len(pending) > MAX_PENDING:
                del pending[next(iter(pending))]
            if host not in self._tasks:
                self._tasks[host] = asyncio.create_task(self._send_pending(host))

    async def _send_pending(self, host: str) -> None:
        try:
            while pending := self._pending.pop(host, None):
                await self._send(host, pending)
        finally:
            del self._tasks[host]

    async def _send(self, host: str, origins: Mapping[str, StreamOrigin]) -> None:
        report = StreamsBegun([(stream, *origin) for stream, origin in origins.items()])
        for attempt in range(1, REPORT_ATTEMPTS + 1):
            try:
                await self._peers.call_with_deadline(host, report, REPORT_TIMEOUT_S)
                return
            except PeerError as exc:
                logger.bind(
                    host=host, streams=len(origins), attempt=attempt, reason=repr(exc)
                ).warning("streams not reported")
