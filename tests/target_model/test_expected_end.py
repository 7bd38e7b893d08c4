"""Placement of streams by their expected end."""

import heapq
import itertools
import random

from magnoliaroad.target_model.expected_end import (
    Candidate,
    choose_by_expected_end,
)
from magnoliaroad.target_model.model import PROMPT_PART

SLOTS = 8


def candidate(name, turn_s=0.15, load=0.0, is_far=False, free_tokens=float("inf")):
    prompt_s = PROMPT_PART * turn_s
    return Candidate(name, turn_s, load, SLOTS, is_far, free_tokens, prompt_s)


def choose(candidates, placed="", request="r-1", tokens=15_000):
    return choose_by_expected_end(candidates, placed, request, tokens)


def test_a_program_leaves_a_target_that_is_half_as_fast():
    choice = choose([candidate("slow", 0.27), candidate("fast", 0.12)], placed="slow")
    assert (choice.name, choice.reason) == ("fast", "moved")


def test_a_program_stays_where_its_prompt_is():
    choice = choose([candidate("a", load=3.0), candidate("b")], placed="a")
    assert (choice.name, choice.reason) == ("a", "kept")


def test_a_program_leaves_a_target_without_a_free_slot():
    choice = choose([candidate("a", load=12.0), candidate("b", load=2.0)], placed="a")
    assert choice.name == "b"


def test_another_data_centre_is_used_if_waiting_here_takes_longer():
    far = candidate("far", is_far=True)
    assert choose([candidate("near", load=4.0), far]).name == "near"
    assert choose([candidate("near", load=14.0), far]).name == "far"


def test_no_request_goes_far_while_a_near_target_is_the_best():
    """Guards against dear traffic between data centres.

    Idle targets elsewhere counted as about as good as half full ones here.
    """
    candidates = [candidate("near", load=4.0), candidate("far", is_far=True)]
    names = {choose(candidates, request=f"r-{n}").name for n in range(50)}
    assert names == {"near"}


def test_programs_return_from_another_data_centre_without_swinging():
    """Guards against programs that change the data centre at each turn."""

    def placed_after(placed, near_load):
        pair = [candidate("near", load=near_load), candidate("far", is_far=True)]
        return choose(pair, placed).name

    loads = [0.0, 4.0, 8.0, 12.0, 16.0, 12.0, 8.0, 4.0, 0.0]
    placed, places = "near", []
    for load in loads:
        placed = placed_after(placed, load)
        places.append(placed)
    assert places[0] == places[-1] == "near"
    assert "far" in places
    assert sum(a != b for a, b in zip(places, places[1:], strict=False)) == 2


def test_a_target_gets_no_more_than_its_memory_holds():
    """Guards against a target that ends as its requests exceed its memory."""
    full = candidate("full", free_tokens=10_000)
    assert choose([full, candidate("b", load=5.0)]).name == "b"
    assert choose([full, candidate("b", load=30.0)], placed="full").name == "b"
    assert choose([full]).name == "full"


def test_a_program_does_not_swing_between_equal_targets():
    """Guards against a prompt that is computed anew at each turn."""
    placed, moves = "a", 0
    loads = random.Random(5)
    for turn in range(200):
        pair = [candidate(name, load=loads.uniform(2.0, 5.0)) for name in "ab"]
        name = choose(pair, placed, f"r-{turn}").name
        moves += name != placed
        placed = name
    assert moves <= 2


class StaleFleet:
    """Hosts that place requests by what they knew of all targets some time ago."""

    HOSTS = 200
    # Time for one turn, by target: a quarter of the machines is slow.
    TURNS_S = [0.27 if n % 4 == 0 else 0.13 for n in range(22)]

    def __init__(self, seed, per_s):
        self.random = random.Random(seed)
        self.per_s = per_s
        self.names = [f"i-{n}" for n in range(len(self.TURNS_S))]
        self.load = dict.fromkeys(self.names, 0)
        self.most = dict.fromkeys(self.names, 0)
        self.known = [dict(self.load) for _ in range(self.HOSTS)]
        self.number = itertools.count()

    def play(self, seconds):
        """Returns the share of requests that found no free slot at their target."""
        events = [(0.0, next(self.number), "request", None)]
        for host in range(self.HOSTS):
            at = self.random.uniform(0.0, 0.5)
            events.append((at, next(self.number), "news", host))
        heapq.heapify(events)
        sent = full = 0
        while events and events[0][0] < seconds:
            at, _, kind, about = heapq.heappop(events)
            if kind == "request":
                name = self.place()
                sent += 1
                full += self.load[name] >= SLOTS
                self.load[name] += 1
                self.most[name] = max(self.most[name], self.load[name])
                turn_s = self.TURNS_S[self.names.index(name)]
                self.push(events, at + turn_s, "end", name)
                pause_s = self.random.expovariate(self.per_s)
                self.push(events, at + pause_s, "request", None)
            elif kind == "end":
                self.load[about] -= 1
            else:
                self.known[about] = dict(self.load)
                pause_s = self.random.uniform(0.1, 0.5)
                self.push(events, at + pause_s, "news", about)
        return full / sent

    def push(self, events, at, kind, about):
        heapq.heappush(events, (at, next(self.number), kind, about))

    def place(self):
        known = self.known[self.random.randrange(self.HOSTS)]
        candidates = [
            candidate(name, turn_s, known[name])
            for name, turn_s in zip(self.names, self.TURNS_S, strict=True)
        ]
        return choose(candidates, request=f"r-{next(self.number)}").name


class RandomFleet(StaleFleet):
    """Hosts that draw one of the fast targets without any news."""

    def place(self):
        return self.random.choice([n for i, n in enumerate(self.names) if i % 4])


def test_hosts_with_the_same_old_news_do_not_rush_upon_one_target():
    """Half of the slots of the fast targets in use, news up to half a second old.

    Guards against news that makes matters worse than drawing targets at random.
    """
    seeds = [1, 2, 3]
    full = [StaleFleet(seed, per_s=500.0).play(4.0) for seed in seeds]
    at_random = [RandomFleet(seed, per_s=500.0).play(4.0) for seed in seeds]
    assert sum(full) <= sum(at_random)
