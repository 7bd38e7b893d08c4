"""The entry point and the list of commands."""

import functools
import importlib
import sys

from cleo.application import Application
from cleo.commands.command import Command
from cleo.loaders.factory_command_loader import FactoryCommandLoader

from magnoliaroad.logs import open_missing_streams

# Module of this package and class of each command, by its name.
COMMANDS = {
    "host": ("host", "HostCommand"),
    "sheet check": ("sheet_check", "SheetCheckCommand"),
    "sheet diff": ("sheet_diff", "SheetDiffCommand"),
    "sheet apply": ("sheet_apply", "SheetApplyCommand"),
    "sheet status": ("sheet_status", "SheetStatusCommand"),
    "sheet history": ("sheet_history", "SheetHistoryCommand"),
    "key new": ("key_new", "KeyNewCommand"),
    "key grant": ("key_grant", "KeyGrantCommand"),
    "key withdraw": ("key_withdraw", "KeyWithdrawCommand"),
    "quarantine list": ("quarantine_list", "QuarantineListCommand"),
    "quarantine clear": ("quarantine_clear", "QuarantineClearCommand"),
    "status": ("status", "StatusCommand"),
    "explain": ("explain", "ExplainCommand"),
    "settings example": ("settings_example", "SettingsExampleCommand"),
    "settings check": ("settings_check", "SettingsCheckCommand"),
    "standin": ("standin", "StandinCommand"),
    "demo": ("demo", "DemoCommand"),
}


def load_command(name: str) -> Command:
    """Returns a command; only its module is imported, as hosts hold it for good."""
    module, kind = COMMANDS[name]
    return getattr(importlib.import_module(f"magnoliaroad.cli.{module}"), kind)()


def main() -> None:
    """Runs the command named on the command line and exits with its status."""
    open_missing_streams()
    app = Application("magnoliaroad", "0.1.0")
    app.set_command_loader(
        FactoryCommandLoader(
            {name: functools.partial(load_command, name) for name in COMMANDS}
        )
    )
    sys.exit(app.run())
