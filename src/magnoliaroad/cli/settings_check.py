"""``magnoliaroad settings check``: validates a host's settings file."""

from cleo.commands.command import Command
from cleo.helpers import argument

from magnoliaroad.settings import SettingsError, load_settings


class SettingsCheckCommand(Command):
    """Lists all faults in a settings file, by the path of the setting."""

    name = "settings check"
    description = "List the faults of a settings file."
    arguments = [argument("settings", "File with the host's settings.")]

    def handle(self) -> int:
        """Checks the file; returns 1 if it has faults."""
        try:
            cfg = load_settings(self.argument("settings"))
        except SettingsError as exc:
            self.line_error(str(exc), style="error")
            return 1
        self.line(f"no faults: host {cfg.name} in data centre {cfg.data_centre}")
        return 0
