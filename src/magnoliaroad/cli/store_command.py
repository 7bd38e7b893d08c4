"""Base class of the commands that use the store, and their exit codes."""

import abc
import asyncio
import contextlib
import getpass
import os
from collections.abc import AsyncIterator, Iterable

from cleo.commands.command import Command
from cleo.helpers import option

from magnoliaroad.operators.fleet import HostState
from magnoliaroad.peers import PeerAddress, PeerService
from magnoliaroad.peers.settings import PeerSettings
from magnoliaroad.sheet import SheetError
from magnoliaroad.store import Store, StoreError
from magnoliaroad.store.client import HttpStore
from magnoliaroad.store.settings import StoreSettings

STORE_VARIABLE = "MAGNOLIAROAD_STORE"

EXIT_DONE = 0
EXIT_NOTHING_CHANGED = 1
EXIT_USAGE = 2
EXIT_OUTCOME_UNKNOWN = 3
EXIT_NOT_EVERYWHERE = 4


class StoreCommand(Command, abc.ABC):
    """A command that uses the store; subclasses override ``handle_with_store``."""

    options = [
        option("store", None, f"URL of the store; else ${STORE_VARIABLE}.", flag=False),
        option("author", None, "Who makes the change, for the history.", flag=False),
    ]

    def handle(self) -> int:
        """Runs the command and returns its exit status."""
        url = self.option("store") or os.environ.get(STORE_VARIABLE)
        if not url:
            self.line_error(f"give --store or set {STORE_VARIABLE}", style="error")
            return EXIT_USAGE
        try:
            return asyncio.run(self._run_with_store(url))
        except SheetError as exc:
            self.line_error(f"{exc}\nnothing was changed", style="error")
        except (ValueError, OSError) as exc:
            self.line_error(str(exc), style="error")
        except StoreError as exc:
            return self._report_store_error(exc)
        return EXIT_NOTHING_CHANGED

    @abc.abstractmethod
    async def handle_with_store(self, store: Store) -> int:
        """Implements the command and returns its exit status."""

    @property
    def author(self) -> str:
        """Author to record for the change; by default the current user."""
        return self.option("author") or getpass.getuser()

    def show_hosts(self, states: Iterable[HostState], revision: int) -> bool:
        """Prints a line for each host; returns whether all serve ``revision``."""
        everywhere = True
        for state in states:
            everywhere &= state.serves(revision)
            self.line(describe_host(state, revision))
        return everywhere

    async def _run_with_store(self, url: str) -> int:
        store = HttpStore(StoreSettings(url))
        try:
            return await self.handle_with_store(store)
        finally:
            await store.close()

    def _report_store_error(self, exc: StoreError) -> int:
        self.line_error(f"the store: {exc}", style="error")
        if exc.verdict.may_retry:
            self.line_error("nothing was changed")
            return EXIT_NOTHING_CHANGED
        self.line_error(
            "the change may have been accepted; run the command again, which does not"
            " make it twice"
        )
        return EXIT_OUTCOME_UNKNOWN


def describe_host(state: HostState, revision: int) -> str:
    """Returns one line that compares ``state`` with the accepted ``revision``."""
    record = state.record
    label = f"{record.host} ({record.data_centre}, {record.address}:{record.http_port})"
    if state.error:
        return f"  {label}: no answer, {state.error}"
    status = "in force" if state.serves(revision) else "NOT in force"
    draining = ", draining" if state.draining else ""
    return f"  {label}: revision {state.revision}, {status}{draining}"


@contextlib.asynccontextmanager
async def open_peers(addresses: Iterable[PeerAddress]) -> AsyncIterator[PeerService]:
    """Connects to hosts as a peer that is not a member of the fleet."""
    peers = PeerService(PeerSettings(), "operator", "127.0.0.1", 0)
    await peers.start()
    try:
        peers.set_addresses(list(addresses))
        yield peers
    finally:
        await peers.stop()
