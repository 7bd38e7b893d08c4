"""Settings of a host: types, validation and an annotated example."""

from magnoliaroad.settings.host import HostSettings
from magnoliaroad.settings.load import SettingsError, load_settings, parse_settings

__all__ = ["HostSettings", "SettingsError", "load_settings", "parse_settings"]
