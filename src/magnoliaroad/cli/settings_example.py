"""``magnoliaroad settings example``: prints annotated settings."""

from cleo.commands.command import Command

from magnoliaroad.settings.example import render_example


class SettingsExampleCommand(Command):
    """Prints every setting with its default and description."""

    name = "settings example"
    description = "Print annotated settings of a host."

    def handle(self) -> int:
        """Prints the example."""
        self.line(render_example())
        return 0
