from typing import NamedTuple

import pytest

from magnoliaroad.peers import PeerError
from magnoliaroad.rendezvous import highest_ranked, rendezvous
from tests.fakes import PeerNetwork, VirtualTimeLoop, Wire, WireFaults


class Ping(NamedTuple):
    number: int


class Pong(NamedTuple):
    number: int


async def answer(sender, ping):
    return Pong(ping.number + 1)


def test_call_gets_a_reply_and_fails_if_the_reply_is_cut_off():
    network = PeerNetwork(Wire(seed=1))
    a, b = network.join("a"), network.join("b")
    for peers in (a, b):
        peers.on(Ping, answer, reply=Pong)
    loop = VirtualTimeLoop()
    assert loop.run_until_complete(a.call("b", Ping(1))) == Pong(2)
    network.wire.cut(["b"], ["a"], both=False)
    with pytest.raises(PeerError):
        loop.run_until_complete(a.call("b", Ping(1), timeout_s=5.0))
    assert 5.0 < loop.time() < 5.1
    loop.close()


def test_wire_faults_are_the_same_for_the_same_seed():
    def received_numbers(seed):
        wire = Wire(seed, WireFaults(0.0, 1.0, drop=0.2, duplicate=0.2))
        for number in range(100):
            wire.send(0.0, "a", "b", number)
        return [delivery.message for delivery in wire.receive(1.0)]

    assert received_numbers(3) == received_numbers(3) != received_numbers(4)
    assert received_numbers(3) != sorted(received_numbers(3))
    assert len(set(received_numbers(3))) < 100


def test_rendezvous_order_of_the_others_is_kept_when_a_name_is_removed():
    names = [f"host-{n}" for n in range(8)]
    keys = [f"team-{n}" for n in range(200)]
    for key in keys:
        order = rendezvous(key, names)
        assert highest_ranked(key, names) == order[0]
        assert rendezvous(key, set(names) - {order[3]}) == [
            name for name in order if name != order[3]
        ]
    assert {highest_ranked(key, names) for key in keys} == set(names)
    assert highest_ranked("team-1", []) is None
