"""The entry point and the list of commands."""

import sys

from cleo.application import Application

from magnoliaroad.cli.demo import DemoCommand
from magnoliaroad.cli.explain import ExplainCommand
from magnoliaroad.cli.host import HostCommand
from magnoliaroad.cli.key_grant import KeyGrantCommand
from magnoliaroad.cli.key_new import KeyNewCommand
from magnoliaroad.cli.key_withdraw import KeyWithdrawCommand
from magnoliaroad.cli.quarantine_clear import QuarantineClearCommand
from magnoliaroad.cli.quarantine_list import QuarantineListCommand
from magnoliaroad.cli.settings_check import SettingsCheckCommand
from magnoliaroad.cli.settings_example import SettingsExampleCommand
from magnoliaroad.cli.sheet_apply import SheetApplyCommand
from magnoliaroad.cli.sheet_check import SheetCheckCommand
from magnoliaroad.cli.sheet_diff import SheetDiffCommand
from magnoliaroad.cli.sheet_history import SheetHistoryCommand
from magnoliaroad.cli.sheet_status import SheetStatusCommand
from magnoliaroad.cli.standin import StandinCommand
from magnoliaroad.cli.status import StatusCommand
from magnoliaroad.logs import open_missing_streams

COMMANDS = (
    HostCommand,
    SheetCheckCommand,
    SheetDiffCommand,
    SheetApplyCommand,
    SheetStatusCommand,
    SheetHistoryCommand,
    KeyNewCommand,
    KeyGrantCommand,
    KeyWithdrawCommand,
    QuarantineListCommand,
    QuarantineClearCommand,
    StatusCommand,
    ExplainCommand,
    SettingsExampleCommand,
    SettingsCheckCommand,
    StandinCommand,
    DemoCommand,
)


def main() -> None:
    """Runs the command named on the command line and exits with its status."""
    open_missing_streams()
    app = Application("magnoliaroad", "0.1.0")
    for command in COMMANDS:
        app.add(command())
    sys.exit(app.run())
