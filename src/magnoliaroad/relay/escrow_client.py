"""Draws tokens of programs' budgets from the escrow hosts."""

from collections.abc import Callable, Collection

from loguru import logger

from magnoliaroad.peers import PeerError, Peers
from magnoliaroad.records.client import RecordClient
from magnoliaroad.relay.escrow_messages import EscrowReply, EscrowRequest
from magnoliaroad.relay.settings import RelaySettings
from magnoliaroad.relay.token_draw import TokenDraw


class EscrowClient:
    """Asks escrow hosts for tokens, that of this host's data centre first.

    Args:
        cfg: Settings of the host.
        records: The known record hosts, some of which are escrow hosts.
        peers: Connections between hosts.
        in_contact: Returns the data centres of which a host is in contact.
    """

    def __init__(
        self,
        cfg: RelaySettings,
        records: RecordClient,
        peers: Peers,
        in_contact: Callable[[], Collection[str]],
    ) -> None:
        self._cfg = cfg
        self._records = records
        self._peers = peers
        self._in_contact = in_contact
        self._last_holder: dict[str, str] = {}
        own = cfg.data_centre
        others = sorted(name for name in cfg.data_centres if name != own)
        self._data_centres = [own, *others] if own in cfg.data_centres else others
        peers.register_replies(EscrowReply)

    @property
    def data_centres(self) -> int:
        """Number of data centres that have a part of each budget."""
        return len(self._data_centres)

    async def draw(self, req: EscrowRequest) -> TokenDraw:
        """Returns the tokens that escrow hosts grant for ``req``.

        Stops at the data centre with which the needed tokens are complete.
        """
        tokens, complete = 0, True
        for data_centre in self._data_centres:
            needed = req.needed - tokens
            if needed <= 0:
                break
            reply = await self._ask(data_centre, req._replace(needed=needed))
            if reply is None:
                complete = False
            else:
                tokens += reply.granted
        return TokenDraw(tokens, complete)

    async def _ask(self, data_centre: str, req: EscrowRequest) -> EscrowReply | None:
        """Returns the reply of a data centre's escrow host; ``None`` if unknown."""
        hosts = self._records.live_hosts_in(data_centre)
        last = self._last_holder.get(data_centre)
        hosts.sort(key=lambda host: host != last)
        # A part whose host has ended is out of use until another one takes over.
        complete = data_centre in self._in_contact()
        for host in hosts:
            try:
                reply = await self._peers.call_with_deadline(
                    host, req, self._cfg.records.call_s
                )
            except PeerError as exc:
                logger.bind(host=host, program=req.program, reason=repr(exc)).info(
                    "escrow host not reached"
                )
                complete = False
                continue
            if reply.serves:
                self._last_holder[data_centre] = host
                return reply
        return EscrowReply(False, 0) if complete else None
