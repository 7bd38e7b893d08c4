import json
import typing

import pytest
from cleo.testers.command_tester import CommandTester

from magnoliaroad.cli.settings_check import SettingsCheckCommand
from magnoliaroad.cli.settings_example import SettingsExampleCommand
from magnoliaroad.settings import HostSettings, SettingsError, parse_settings
from magnoliaroad.settings.example import parse_attribute_docs, render_example

MINIMAL = {
    "name": "host-1",
    "data_centre": "kolkata-1",
    "listen": {"address": "127.0.0.1", "http_port": 0, "peer_port": 0},
    "store": {"url": "http://127.0.0.1:1"},
}


def walk_settings(kind, path=""):
    for name, hint in typing.get_type_hints(kind).items():
        yield kind, name, path + name
        if hasattr(hint, "_fields"):
            yield from walk_settings(hint, f"{path}{name}.")


def test_example_contains_each_setting_with_its_default():
    cfg = parse_settings(render_example())
    minimal = parse_settings(json.dumps(MINIMAL))
    for field in HostSettings._fields:
        if field not in ("name", "data_centre", "listen", "store"):
            assert getattr(cfg, field) == getattr(minimal, field)
    text = render_example()
    for _, name, _ in walk_settings(HostSettings):
        assert f'"{name}": ' in text


def test_each_setting_has_a_description():
    leaves = [
        (kind, name, path)
        for kind, name, path in walk_settings(HostSettings)
        if not hasattr(typing.get_type_hints(kind)[name], "_fields")
    ]
    undescribed = [
        p for kind, name, p in leaves if not parse_attribute_docs(kind).get(name)
    ]
    assert undescribed == []


def test_every_error_is_reported_with_its_path():
    bad = MINIMAL | {
        "listen": {"address": "127.0.0.1", "http_port": "many"},
        "colour": "red",
        "keys": {"cut_off_serve_s": "long", "grace": 1},
    }
    with pytest.raises(SettingsError) as caught:
        parse_settings(json.dumps(bad))
    paths = {fault.partition(":")[0] for fault in caught.value.faults}
    assert paths == {
        "listen.http_port",
        "listen.peer_port",
        "colour",
        "keys.cut_off_serve_s",
        "keys.grace",
    }
    assert any("unknown field" in fault for fault in caught.value.faults)


@pytest.mark.parametrize("text", ["", "[]", "{", "// nothing"])
def test_text_that_is_not_settings_is_rejected(text):
    with pytest.raises(SettingsError):
        parse_settings(text)


def test_check_accepts_the_example_and_reports_missing_settings(tmp_path):
    example = CommandTester(SettingsExampleCommand())
    assert example.execute() == 0
    path = tmp_path / "host.json"
    path.write_text(example.io.fetch_output())
    check = CommandTester(SettingsCheckCommand())
    assert check.execute(str(path)) == 0
    path.write_text("{}")
    assert check.execute(str(path)) == 1
    assert "name: required but absent" in check.io.fetch_error()
