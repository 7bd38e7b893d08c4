import json

import pytest

from magnoliaroad.relay.load import load_settings, parse_settings
from magnoliaroad.settings_check import SettingsError

GOOD = {
    "name": "host-1",
    "data_centre": "dc-1",
    "listen": {"peers": "127.0.0.1:1", "metrics": "127.0.0.1:2"},
    "store": {"url": "http://127.0.0.1:3"},
}


def test_settings_with_comments_are_read(tmp_path):
    path = tmp_path / "host.jsonc"
    path.write_text("// A host.\n" + json.dumps(GOOD))
    cfg = load_settings(path)
    assert cfg.listen.callers == ""
    assert cfg.follow.watch_s > 0


def test_every_fault_is_listed_by_path():
    bad = {**GOOD, "listen": {"peers": 5}, "colour": "red"}
    del bad["name"]
    with pytest.raises(SettingsError) as caught:
        parse_settings(json.dumps(bad))
    text = str(caught.value)
    for path in ("name", "listen.peers", "listen.metrics", "colour"):
        assert path in text


def test_whole_numbers_may_have_a_fraction_of_zero():
    """Hosts did not start, although the checker of settings found no fault (FAULT)."""
    cfg = parse_settings(json.dumps({**GOOD, "memory": {"limit_mb": 150.0}}))
    assert cfg.memory.limit_mb == 150
    assert isinstance(cfg.memory.limit_mb, int)
    with pytest.raises(SettingsError, match=r"memory\.limit_mb"):
        parse_settings(json.dumps({**GOOD, "memory": {"limit_mb": 150.5}}))


@pytest.mark.parametrize("text", ["", "{", "[]", "5"])
def test_text_without_a_settings_object_is_refused(text):
    with pytest.raises(SettingsError):
        parse_settings(text)


@pytest.mark.parametrize(
    ("names", "fault"),
    [(["dc-2"], "does not name 'dc-1'"), (["dc-1", "dc-1"], "names one twice")],
)
def test_the_list_of_data_centres_is_checked(names, fault):
    settings = {
        "name": "h",
        "data_centre": "dc-1",
        "data_centres": names,
        "listen": {"peers": "127.0.0.1:1", "metrics": "127.0.0.1:2"},
        "store": {"url": "http://127.0.0.1:3"},
    }
    with pytest.raises(SettingsError, match=fault):
        parse_settings(json.dumps(settings))
