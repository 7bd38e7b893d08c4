"""``magnoliaroad host``: runs an entry host."""

import asyncio
import signal

from cleo.commands.command import Command
from cleo.helpers import argument

from magnoliaroad.allocator import return_large_buffers
from magnoliaroad.app import HostApplication
from magnoliaroad.gc_tuning import tune_gc
from magnoliaroad.logs import setup_host_logs
from magnoliaroad.settings import HostSettings, SettingsError, load_settings


class HostCommand(Command):
    """Runs an entry host until it receives SIGTERM or SIGINT."""

    name = "host"
    description = "Run an entry host."
    arguments = [argument("settings", "File with the host's settings.")]

    def handle(self) -> int:
        """Runs the host; returns 2 if the settings have faults."""
        try:
            cfg = load_settings(self.argument("settings"))
        except SettingsError as exc:
            self.line_error(str(exc), style="error")
            return 2
        return_large_buffers()
        setup_host_logs(cfg.logs)
        asyncio.run(run_host(cfg))
        return 0


async def run_host(cfg: HostSettings) -> None:
    """Runs a host until SIGTERM or SIGINT, then shuts it down gracefully."""
    app = HostApplication(cfg)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    await app.start()
    tune_gc()
    await stop.wait()
    await app.drain()
    await app.stop()
