"""``magnoliaroad key withdraw``: withdraws a key permanently."""

import asyncio

from cleo.helpers import argument, option

from magnoliaroad.cli.store_command import (
    EXIT_DONE,
    EXIT_NOT_EVERYWHERE,
    EXIT_OUTCOME_UNKNOWN,
    EXIT_USAGE,
    StoreCommand,
    open_peers,
)
from magnoliaroad.config.publisher import Publisher
from magnoliaroad.keys import fingerprint
from magnoliaroad.keys.messages import WithdrawalAck, WithdrawalNotice
from magnoliaroad.operators import list_hosts, withdraw_key
from magnoliaroad.operators.keys import find_digest
from magnoliaroad.operators.notify import choose_hosts_to_notify, notify_hosts
from magnoliaroad.peers import PeerAddress
from magnoliaroad.store import Store, StoreError


class KeyWithdrawCommand(StoreCommand):
    """Withdraws a key in the store and notifies some hosts directly."""

    name = "key withdraw"
    description = "Withdraw a key; it stays withdrawn whatever the sheet says."
    arguments = [argument("name", "Public name of the key.", optional=True)]
    options = [
        *StoreCommand.options,
        option("digest", None, "Digest of the key, in place of its name.", flag=False),
        option(
            "peer",
            None,
            "Peer port of a host as ip:port, for when the store is down.",
            flag=False,
            multiple=True,
        ),
        option("wait", None, "Ask each live host whether it refuses the key."),
    ]

    async def handle_with_store(self, store: Store) -> int:
        """Withdraws the key; returns 3 if neither the store nor a host answered."""
        if not self.argument("name") and not self.option("digest"):
            self.line_error("give the name of the key or --digest", style="error")
            return EXIT_USAGE
        digest = self.option("digest") or await self._find_digest(store)
        notice = WithdrawalNotice((fingerprint(digest),))
        addresses = await self._peer_addresses(store)
        stored, notified = await asyncio.gather(
            withdraw_key(store, digest), self._notify_hosts(addresses, notice)
        )
        if stored:
            self.line("withdrawn in the store")
        elif notified:
            self.line("the store did not answer; hosts write it there later")
        else:
            self.line_error("neither the store nor a host answered", style="error")
            return EXIT_OUTCOME_UNKNOWN
        self.line(f"hosts told at once: {', '.join(sorted(notified)) or 'none'}")
        return self._report_notified(addresses, notified)

    async def _find_digest(self, store: Store) -> str:
        accepted = await Publisher(store).read()
        return find_digest(accepted.config, self.argument("name"))

    async def _peer_addresses(self, store: Store) -> list[PeerAddress]:
        given = [_parse_peer(text) for text in self.option("peer")]
        try:
            records = await list_hosts(store)
        except StoreError as exc:
            self.line_error(f"cannot list the live hosts: {exc}")
            return given
        return given or [record.peer_address for record in records]

    async def _notify_hosts(
        self, addresses: list[PeerAddress], notice: WithdrawalNotice
    ) -> list[str]:
        all_hosts = self.option("wait") or self.option("peer")
        hosts = (
            [a.host for a in addresses]
            if all_hosts
            else choose_hosts_to_notify(addresses)
        )
        async with open_peers(addresses) as peers:
            peers.on(WithdrawalNotice, _ignore_message, reply=WithdrawalAck)
            return await notify_hosts(peers, hosts, notice)

    def _report_notified(
        self, addresses: list[PeerAddress], notified: list[str]
    ) -> int:
        if not self.option("wait"):
            return EXIT_DONE
        unanswered = sorted({address.host for address in addresses} - set(notified))
        self.line(f"{len(notified)} of {len(addresses)} live hosts refuse the key")
        for host in unanswered:
            self.line(f"  {host}: no answer")
        return EXIT_NOT_EVERYWHERE if unanswered else EXIT_DONE


def _parse_peer(text: str) -> PeerAddress:
    address, _, port = text.rpartition(":")
    if not address or not port.isdigit():
        raise OSError(f"--peer={text} is not ip:port")
    return PeerAddress(text, text, address, int(port))


async def _ignore_message(sender: str, message: WithdrawalNotice) -> None:
    return None
