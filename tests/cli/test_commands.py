"""Runs the operators' commands against a store and hosts in another thread."""

import ast
import asyncio
import contextlib
import subprocess
import sys
import threading

import pytest
from cleo.testers.command_tester import CommandTester

from magnoliaroad.app import HostApplication
from magnoliaroad.cli.key_grant import KeyGrantCommand
from magnoliaroad.cli.key_new import KeyNewCommand
from magnoliaroad.cli.key_withdraw import KeyWithdrawCommand
from magnoliaroad.cli.main import COMMANDS, load_command
from magnoliaroad.cli.sheet_apply import SheetApplyCommand
from magnoliaroad.cli.sheet_check import SheetCheckCommand
from magnoliaroad.cli.sheet_diff import SheetDiffCommand
from magnoliaroad.cli.sheet_history import SheetHistoryCommand
from magnoliaroad.cli.sheet_status import SheetStatusCommand
from magnoliaroad.cli.status import StatusCommand
from magnoliaroad.keys import digest_key
from magnoliaroad.standins.deployment import demo_settings
from magnoliaroad.standins.faults import StoreFaults
from magnoliaroad.standins.kv_server import KvServer
from magnoliaroad.standins.serve_app import serve_app

SHEET = f"""kind,name,team,rate,burst,digest
team,arcades,,{{rate}},5,
key,till,arcades,,,{digest_key("mr-till")}
"""


class Site:
    """A store and two hosts in a thread with its own event loop."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.store = KvServer()
        self.hosts = []
        self.url = ""
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._stack = contextlib.AsyncExitStack()

    def run(self, coro):
        return asyncio.run_coroutine_threadsafe(coro, self.loop).result(30)

    def start(self):
        self._thread.start()
        self.run(self._start())

    async def _start(self):
        self.url = await self._stack.enter_async_context(serve_app(self.store.app()))
        for number in (1, 2):
            app = HostApplication(demo_settings(self.url, f"host-{number}"))
            await app.start()
            self.hosts.append(app)

    def stop(self):
        try:
            self.run(self._stop())
        finally:
            self.loop.call_soon_threadsafe(self.loop.stop)
            self._thread.join()
            self.loop.close()

    async def _stop(self):
        for app in self.hosts:
            await app.stop()
        await self._stack.aclose()


@pytest.fixture(scope="module")
def site():
    site = Site()
    site.start()
    yield site
    site.stop()


@pytest.fixture
def command(site):
    def execute(kind, args=""):
        tester = CommandTester(kind())
        status = tester.execute(f"{args} --store={site.url} --author=asha")
        return status, tester.io.fetch_output() + tester.io.fetch_error()

    return execute


@pytest.fixture
def sheet(tmp_path):
    def write(rate):
        path = tmp_path / "sheet.csv"
        path.write_text(SHEET.format(rate=rate))
        return str(path)

    return write


def test_a_sheet_is_checked_applied_and_listed_in_the_history(command, sheet, site):
    path = sheet(1)
    tester = CommandTester(SheetCheckCommand())
    assert tester.execute(path) == 0
    status, text = command(SheetDiffCommand, path)
    assert status == 0
    assert "+ team arcades" in text
    status, text = command(SheetApplyCommand, f"{path} --wait")
    assert status == 0
    assert text.index("+ key till") < text.index("revision 1 accepted")
    assert "revision 1: 2 of 2 hosts" in text
    assert "host-2 (kolkata-1," in text
    status, text = command(SheetApplyCommand, path)
    assert (status, "nothing to change" in text) == (0, True)
    status, text = command(SheetApplyCommand, f"{sheet(2)} --base=1 --wait")
    assert (status, "revision 2 accepted" in text) == (0, True)
    operation = text.partition("operation ")[2].partition(")")[0]
    status, text = command(SheetApplyCommand, f"{sheet(3)} --base=1")
    assert status == 1
    assert "row 2: ~ team arcades: rate 2.0 -> 3.0" in text
    status, text = command(SheetStatusCommand, f"--operation={operation}")
    assert (status, "took effect" in text) == (0, True)
    assert command(SheetStatusCommand, "--operation=none")[0] == 1
    status, text = command(SheetHistoryCommand)
    assert status == 0
    assert "asha: ~ team arcades: rate 1.0 -> 2.0" in text
    status, text = command(StatusCommand)
    assert (status, "2 live hosts: kolkata-1 2" in text) == (0, True)


def test_a_bad_sheet_changes_nothing(command, tmp_path, site):
    before = site.store.state.revision
    path = tmp_path / "bad.csv"
    path.write_text("kind,name,rate,burst\nteam,a,fast,-1\nteam,a,1,1\n")
    status, text = command(SheetApplyCommand, str(path))
    assert status == 1
    assert "row 2, rate: 'fast'" in text
    assert "row 2, burst: '-1'" in text
    assert "row 3, name: 'a'" in text
    writes = site.store.state._history[before:]
    assert not [key for _, key in writes if key.startswith("config/")]


def test_a_granted_key_is_shown_once_and_can_be_withdrawn(command, sheet, site):
    command(SheetApplyCommand, f"{sheet(2)} --wait")
    status, text = command(KeyGrantCommand, "desk arcades --wait")
    assert status == 0
    key = text.partition("(shown once): ")[2].split()[0]
    assert [app.keys.identify(key).unwrap().team for app in site.hosts] == [
        "arcades"
    ] * 2
    assert key not in str(site.store.state.entries)
    assert command(KeyGrantCommand, "desk arcades")[0] == 1
    assert command(KeyGrantCommand, "other nobody")[0] == 1
    assert command(SheetApplyCommand, f"{sheet(4)} --wait")[0] == 0
    assert site.hosts[0].keys.identify(key).unwrap().key_id == "desk"
    status, text = command(KeyWithdrawCommand, "desk --wait")
    assert (status, "2 of 2 live hosts refuse the key" in text) == (0, True)
    codes = [app.keys.identify(key).failure().code for app in site.hosts]
    assert codes == ["key_unknown"] * 2
    assert command(KeyWithdrawCommand, "nobody")[0] == 1


def test_a_key_is_withdrawn_while_the_store_is_down(command, site):
    digest = digest_key("mr-till")
    peer = f"127.0.0.1:{site.hosts[0].peers.port}"
    site.store.set_faults(StoreFaults(down=True))
    try:
        status, text = command(KeyWithdrawCommand, f"--digest={digest} --peer={peer}")
    finally:
        site.store.set_faults(StoreFaults())
    assert (status, "hosts write it there later" in text) == (0, True)
    assert site.hosts[0].keys.identify("mr-till").failure().code == "key_unknown"


def test_exit_codes_for_wrong_arguments(command, sheet, monkeypatch):
    monkeypatch.delenv("MAGNOLIAROAD_STORE", raising=False)
    assert CommandTester(StatusCommand()).execute("") == 2
    assert command(SheetApplyCommand, f"{sheet(1)} --base=x")[0] == 2
    assert command(SheetApplyCommand, "/none/sheet.csv")[0] == 1
    assert command(KeyWithdrawCommand, "--digest=abc")[0] == 1
    assert command(KeyWithdrawCommand)[0] == 2


def test_a_new_key_and_its_digest():
    tester = CommandTester(KeyNewCommand())
    assert tester.execute() == 0
    key, digest = (
        line.split(": ")[1] for line in tester.io.fetch_output().splitlines()
    )
    assert digest_key(key) == digest


@pytest.mark.parametrize("name", sorted(COMMANDS))
def test_each_command_has_the_name_under_which_it_is_listed(name):
    assert load_command(name).name == name


def test_a_host_does_not_import_the_other_commands():
    """They would take some 4 MB of each host, of which small ones have 150."""
    source = (
        "import sys; from magnoliaroad.cli.main import load_command\n"
        "load_command('host')\n"
        "print([m for m in sys.modules if m.startswith('magnoliaroad.cli.')])"
    )
    done = subprocess.run(
        [sys.executable, "-c", source], capture_output=True, text=True, check=True
    )
    assert ast.literal_eval(done.stdout) == [
        "magnoliaroad.cli.main",
        "magnoliaroad.cli.host",
    ]
