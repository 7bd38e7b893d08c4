"""Fields of the platform that say how targets may be used."""

import json

import pytest
from loguru import logger
from magnoliaroad_platform.dialect import PlatformDialect
from magnoliaroad_platform.entry_decoder import PlatformEntryDecoder
from multidict import CIMultiDict, CIMultiDictProxy

from magnoliaroad.relay.dialect import TargetLoad
from tests.platform.deployment import config, route

DECODER = PlatformEntryDecoder()


def headers(**values):
    return CIMultiDictProxy(
        CIMultiDict(
            (f"Magnoliaroad-{n.replace('_', '-')}", v) for n, v in values.items()
        )
    )


@pytest.mark.parametrize(
    ("value", "load"),
    [
        ("8,2,12", TargetLoad(8, 2, 12)),
        ("8,2,8,250", TargetLoad(8, 2, 8, 2.5)),
        (" 1, 0 ,6, 100 ", TargetLoad(1, 0, 6, 1.0)),
    ],
)
def test_a_load_has_three_or_four_figures(value, load):
    """Guards against a fourth figure that makes the whole load unknown."""
    assert PlatformDialect().read_answer(headers(Server_Load=value)).load == load


@pytest.mark.parametrize(
    "value", ["", "8", "8,2", "8,2,8,1,1", "a,b,c", "-1,0,8", "1e9,0,8"]
)
def test_a_malformed_load_is_logged_once(value):
    dialect, values = PlatformDialect(), []
    sink = logger.add(lambda text: values.append(text.record["extra"]["value"]))
    for _ in range(3):
        assert dialect.read_answer(headers(Server_Load=value)).load is None
    logger.remove(sink)
    assert values == [value]


@pytest.mark.parametrize(
    ("value", "cold_s"), [("1500", 1.5), ("0", 0.0), ("-1", None), ("nan", None)]
)
def test_an_answer_states_for_how_long_its_target_is_cold(value, cold_s):
    assert PlatformDialect().read_answer(headers(Cold_Ms=value)).cold_s == cold_s


def test_a_call_has_the_tokens_of_its_prompt_by_part():
    sent = headers(Token_Count="1460,80", Prompt_Prefix="5c:800,91:410,e4:x,77")
    call = PlatformDialect().read_call("POST", "/x", sent, b"")
    assert (call.prompt_tokens, call.output_tokens) == (1460, 80)
    assert call.prompt_parts == ("5c", "91", "e4", "77")
    assert call.part_tokens == (800, 410, 0, 0)


def test_limits_of_services_routes_and_teams_are_decoded():
    document = config(
        routes=[route("safe", "/safe/", "safe", "lm", allowed_regions=["r-1"])],
        services=[
            {
                "name": "lm",
                "cold_start_s": 3.0,
                "cold_per_s": 21.0,
                "engine": {"slots": 8, "kv_capacity": 235546},
            }
        ],
        tenants=[{"name": "league", "api_keys": ["k"], "allowed_regions": ["r-2"]}],
    )
    plan = DECODER.read_plan("op/config", json.dumps(document).encode())
    assert plan.find_route("arcade.example", "/safe/x").allowed_regions == ("r-1",)
    assert plan.teams["league"].allowed_regions == ("r-2",)
    service = plan.services["lm"]
    assert (service.cold_s, service.cold_rate) == (3.0, 21.0)
    assert service.memory_tokens == 235546


def test_a_key_orders_the_evacuation_of_the_data_centre_that_it_ends_with():
    assert DECODER.read_evacuated_name("op/evacuate/dc-1") == "dc-1"
    assert DECODER.read_evacuated_name("op/evacuate/") is None
    assert DECODER.read_evacuated_name("op/config") is None


@pytest.mark.parametrize(
    ("value", "cold_s"),
    [(1500, 1.5), (0, 0.0), (-1, 0.0), ("3000", 0.0), (True, 0.0), (1e12, 600.0)],
)
def test_an_entry_is_sound_whatever_it_says_of_being_cold(value, cold_s):
    """Guards against a malformed field that hides a target."""
    entry = {"service": "a", "address": "10.0.0.1:80", "state": "ready"}
    document = json.dumps({**entry, "cold_remaining_ms": value}).encode()
    assert DECODER.read_target("servers/i-1", document).cold_s == cold_s
