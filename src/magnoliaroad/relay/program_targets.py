"""Remembers which target serves each program."""

from collections.abc import Callable

from loguru import logger

from magnoliaroad.peers import PeerError, Peers
from magnoliaroad.records.lru_cache import LruCache
from magnoliaroad.relay.placement_messages import (
    ProgramTargetReply,
    ProgramTargetReport,
    ProgramTargetRequest,
)
from magnoliaroad.rendezvous import highest_ranked

# Most programs whose targets a host remembers.
MAX_PROGRAMS = 20_000
# Timeout for asking a home host, in seconds; a few round trips.
LOOKUP_TIMEOUT_S = 0.05


class ProgramTargets:
    """Finds the target that served a program's last turn, on whichever host it ran.

    A target caches the prompt of a program, so its next turn is best sent there. The
    host that ranks first for a program, its home host, remembers the target for all
    hosts of the data centre; a host that has placed a turn itself need not ask.

    Args:
        name: Name of this host.
        peers: Connections between hosts.
        hosts: Returns the hosts that may be home hosts.
    """

    def __init__(self, name: str, peers: Peers, hosts: Callable[[], list[str]]) -> None:
        self._name = name
        self._peers = peers
        self._hosts = hosts
        self._targets: LruCache[str] = LruCache(MAX_PROGRAMS, lambda _: 1)
        peers.on(ProgramTargetRequest, self._on_request, ProgramTargetReply)
        peers.on(ProgramTargetReport, self._on_report)

    async def find(self, program: str) -> str:
        """Returns the target of a program; empty if it is not known."""
        known = self._targets.get(program)
        home = highest_ranked(program, self._hosts())
        if known is not None or home is None or home == self._name:
            return known or ""
        try:
            reply = await self._peers.call_with_deadline(
                home, ProgramTargetRequest(program), LOOKUP_TIMEOUT_S
            )
        except PeerError as exc:
            logger.bind(host=home, program=program, reason=repr(exc)).info(
                "program's host not reached"
            )
            return ""
        return reply.target

    def known(self, program: str) -> str:
        """Returns the target of a program if this host knows it; else empty."""
        return self._targets.peek(program) or ""

    def home(self, program: str) -> str:
        """Returns the host that ``find`` asks for a program it does not know."""
        return highest_ranked(program, self._hosts()) or self._name

    def assign(self, program: str, target: str) -> None:
        """Remembers that ``target`` serves a program from now on."""
        if self._targets.get(program) == target:
            return
        self._targets.add(program, target)
        home = highest_ranked(program, self._hosts())
        if home is not None and home != self._name:
            self._peers.send(home, ProgramTargetReport(program, target))

    def _on_request(self, sender: str, req: ProgramTargetRequest) -> ProgramTargetReply:
        return ProgramTargetReply(self._targets.get(req.program) or "")

    def _on_report(self, sender: str, report: ProgramTargetReport) -> None:
        self._targets.add(report.program, report.target)
