"""The choice of the peer that sends the requests of a host that is cut off."""

from collections import Counter

from magnoliaroad.relay.helper_choice import UNABLE_S, Helper, HelperChoice


def test_the_least_loaded_peer_of_the_data_centre_is_chosen():
    peers = [Helper("far", False, 0), Helper("busy", True, 9), Helper("near", True, 2)]
    choice = HelperChoice(lambda: peers)
    assert choice.choose(0.0, ()) == "near"
    assert choice.choose(0.0, {"near"}) == "busy"
    assert choice.choose(0.0, {"near", "busy"}) == "far"
    assert choice.choose(0.0, {"near", "busy", "far"}) is None


def test_requests_under_way_count_until_they_end():
    choice = HelperChoice(lambda: [Helper("a", True, 0), Helper("b", True, 1)])
    for _ in range(2):
        choice.record_start("a")
    assert choice.choose(0.0, ()) == "b"
    choice.record_end("a")
    choice.record_end("a")
    assert choice.choose(0.0, ()) == "a"


def test_a_peer_that_is_unable_is_left_out_for_a_while():
    choice = HelperChoice(lambda: [Helper("a", True, 0)])
    choice.record_unable("a", 1.0)
    assert choice.choose(1.0 + UNABLE_S / 2, ()) is None
    assert choice.choose(1.0 + UNABLE_S, ()) == "a"


def test_hosts_that_are_cut_off_together_spread_their_requests():
    """Three of four hosts of a data centre are cut off, and only one can help."""
    peers = [Helper(f"near-{n}", True, 0) for n in range(3)]
    peers += [Helper(f"far-{n}", False, 0) for n in range(4)]
    sent = Counter()
    for _ in range(3):
        choice = HelperChoice(lambda: peers)
        for name in ("near-0", "near-1"):
            choice.record_unable(name, 0.0)
        for _ in range(100):
            host = choice.choose(0.1, ())
            # A peer takes 60 requests of the three hosts.
            if sent["near-2"] >= 60 and host == "near-2":
                choice.record_unable(host, 0.1)
                host = choice.choose(0.1, ())
            choice.record_start(host)
            sent[host] += 1
    assert sent["near-2"] == 60
    far = [sent[f"far-{n}"] for n in range(4)]
    assert sum(far) == 240
    assert max(far) - min(far) <= 3
