"""Quarantine of requests that were answered, in virtual time and without a network.

What was answered counts against crashes before it, not against later ones.
"""

import asyncio

import pytest
from returns.pipeline import is_successful

from magnoliaroad.quarantine import QuarantineState
from magnoliaroad.targets import RequestEnd
from tests.relay.test_quarantine import CONTACT_S, MAX_SENT_AFTER, Sim, simulate

# Time that a request runs, and for which a target that has ended is down, in seconds.
RUN_S, DOWN_S = 0.05, 2.0
SECONDS = 40.0
# Targets that one attempt of a caller may reach.
ATTEMPTS = 2


class AnswerSim(Sim):
    """Requests that run for a while; some targets end while they do."""

    def __init__(self, **settings):
        super().__init__(**settings)
        self.refused = self.answered = 0
        self._up_at = dict.fromkeys(self.targets, 0.0)

    async def request(self, host=None, target=None, crashes=()):
        """Sends one request to up to ``ATTEMPTS`` targets, until one answers it.

        Args:
            host: Name of the host; any if not given.
            target: Its first target; any if not given.
            crashes: Targets that the request crashes.
        """
        name = host or self.random.choice(sorted(self.hosts))
        quarantine = self.hosts[name].quarantine
        for _ in range(ATTEMPTS):
            if not is_successful(quarantine.check("P")):
                self.refused += 1
                return
            up = [t for t in sorted(self.targets) if self._up_at[t] <= self.loop.time()]
            if not up:
                return
            target = target if target in up else self.random.choice(up)
            if await self._try(quarantine, target, crashes):
                self.answered += 1
                return
            target = None

    async def _try(self, quarantine, target, crashes):
        born = self.targets[target]
        quarantine.request_started(target, "P")
        await asyncio.sleep(RUN_S * self.random.uniform(0.5, 1.5))
        if target in crashes:
            self.end(target)
        answers = self.targets[target] == born
        end = RequestEnd.COMPLETED if answers else RequestEnd.LOST
        quarantine.request_ended(target, "P", end, "ping", born)
        return answers

    def end(self, target):
        self.targets[target] += 1
        self._up_at[target] = self.loop.time() + DOWN_S
        self.crashed_at.append(self.loop.time())

    async def request_until(self, until, gap_s, crashes=()):
        async with asyncio.TaskGroup() as group:
            while self.loop.time() < until:
                group.create_task(self.request(crashes=crashes))
                await asyncio.sleep(self.random.uniform(0.5, 1.5) * gap_s)

    def blocked(self):
        return {
            entry.fingerprint
            for host in self.hosts.values()
            for entry in host.quarantine.blocklist.all()
            if entry.state is QuarantineState.BLOCKED
        }


@pytest.fixture
def sim(request):
    sim = AnswerSim(**getattr(request, "param", {}))
    yield sim
    sim.close()


def play(sim, *coros, seconds=SECONDS):
    async def all_at_once():
        until = sim.loop.time() + seconds
        await asyncio.gather(sim.heartbeat(until), *coros)

    sim.run(all_at_once())


async def answer_everywhere(sim):
    for name in sorted(sim.hosts):
        await sim.request(name)


@pytest.mark.parametrize("gap_s", [0.05, 0.3, 1.0, 2.0, 4.0])
@pytest.mark.parametrize("sim", [{"seed": n} for n in range(4)], indirect=True)
def test_a_request_that_was_answered_before_its_first_crash_is_refused(sim, gap_s):
    """BUDGET: it was free of the quarantine for 15 minutes at each host."""
    sim.run(answer_everywhere(sim))
    simulate(sim, gap_s=gap_s)
    assert len(sim.sent_in_contact) <= MAX_SENT_AFTER
    assert sim.blocked() == {"P"}


@pytest.mark.parametrize("gap_s", [0.3, 1.0, 2.0])
@pytest.mark.parametrize("sim", [{"seed": n} for n in range(4)], indirect=True)
def test_a_request_that_crashes_each_target_after_it_was_answered_is_refused(
    sim, gap_s
):
    sim.run(answer_everywhere(sim))
    until = sim.loop.time() + SECONDS
    play(sim, sim.request_until(until, gap_s, crashes=set(sim.targets)))
    late = [at for at in sim.crashed_at if at > sim.crashed_at[2] + CONTACT_S]
    assert len(late) <= MAX_SENT_AFTER
    assert sim.blocked() == {"P"}


def test_a_host_that_answered_it_and_hears_late_of_its_block_does_not_lift_it(sim):
    sim.run(answer_everywhere(sim))
    simulate(sim, sim.isolate(["host-3"], 20.0), seconds=50.0, gap_s=1.0)
    assert sim.blocked() == {"P"}
    assert len(sim.sent_in_contact) <= MAX_SENT_AFTER


@pytest.mark.parametrize("gap_s", [0.02, 0.2, 1.0, 3.0])
@pytest.mark.parametrize("sim", [{"seed": n} for n in range(4)], indirect=True)
def test_a_request_that_crashes_one_target_of_five_is_served(sim, gap_s):
    sim.run(answer_everywhere(sim))
    until = sim.loop.time() + SECONDS
    play(sim, sim.request_until(until, gap_s, crashes=("t-0",)))
    assert sim.blocked() == set()
    assert sim.refused <= 0.05 * sim.answered


@pytest.mark.parametrize("gap_s", [0.02, 0.2, 1.0])
@pytest.mark.parametrize("ends", ["power", "restarts", "release"])
@pytest.mark.parametrize("sim", [{"seed": n} for n in range(4)], indirect=True)
def test_a_request_that_is_lost_when_targets_end_by_themselves_is_served(
    sim, gap_s, ends
):
    """Three of five lose power at once, or all end one after the other."""

    async def end_targets(until):
        targets = sorted(sim.targets)
        while sim.loop.time() < until:
            ending = targets[:3] if ends == "power" else targets
            for target in ending:
                # Some equal requests run at each target as it ends.
                lost = [sim.request(target=target) for _ in range(3)]
                running = [asyncio.create_task(one) for one in lost]
                await asyncio.sleep(0.4 * RUN_S if ends != "power" else 0.0)
                if ends != "power":
                    sim.end(target)
                    await asyncio.gather(*running)
                    await asyncio.sleep(1.0 if ends == "release" else 0.3)
            if ends == "power":
                await asyncio.sleep(0.4 * RUN_S)
                for target in ending:
                    sim.end(target)
            await asyncio.sleep(5.0)

    sim.run(answer_everywhere(sim))
    until = sim.loop.time() + SECONDS
    play(sim, sim.request_until(until, gap_s), end_targets(until))
    assert sim.blocked() == set()
