from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful

from tests.fakes import WireFaults
from tests.programs.fleet import BUDGET, CFG, Fleet

NEVER_S = 1e6
EVENTS = ("turn", "turn", "begin", "finish", "crash", "restart", "pause", "wake")
EVENTS += ("down", "up", "end", "repeat", "cut_finish")
schedules = st.lists(
    st.tuples(st.sampled_from(EVENTS), st.integers(0, 2), st.sampled_from("pq")),
    min_size=5,
    max_size=16,
)


class Schedule:
    """Callers of two programs, and hosts that fail one at a time."""

    def __init__(self, seed):
        cfg = CFG._replace(idle_limit_s=NEVER_S, ended_keep_s=NEVER_S)
        self.fleet = Fleet(seed, WireFaults(drop=0.02, duplicate=0.1), cfg)
        self.shown = {"p": [], "q": []}
        self.spent = {"p": 0, "q": 0}
        self.unsure = {"p": 0, "q": 0}
        self.open_turns = []
        self.unanswered = []
        self.ended = set()
        self.number = 0
        self.host_lost = self.is_store_down = False
        self.paused = {}

    def apply_event(self, event, index, program):
        host = "abc"[index]
        if event in ("crash", "restart", "pause", "wake", "down", "up"):
            getattr(self, f"_{event}")(host)
        elif host in self.fleet.hosts:
            getattr(self, f"_{event}")(host, program)
        self.fleet.settle(2)

    def _turn(self, host, program):
        self._begin(host, program)
        self._finish(host, program)

    def _begin(self, host, program):
        self.number += 1
        new = [{"role": "user", "content": f"{program}{self.number}"}]
        found = self.fleet.begin(host, new, program, new_only=True, max_tokens=600)
        if not is_successful(found):
            assert found.failure().verdict == "not run"
            return
        turn = found.unwrap()
        contents = [m["content"] for m in turn.messages]
        assert [c for c in contents if c in self.shown[program]] == self.shown[program]
        assert all(content.startswith(program) for content in contents)
        self.open_turns.append((host, program, turn))

    def _finish(self, host, program):
        matching = [o for o in self.open_turns if o[:2] == (host, program)]
        if not matching:
            return
        self.open_turns.remove(matching[0])
        turn = matching[0][2]
        answer = f"{program}-answer-{turn.number}-{turn.attempt}"
        self.spent[program] += turn.reserved
        if self.fleet.finish(host, turn, answer, turn.reserved):
            self.shown[program] += [turn.messages[-1]["content"], answer]
        else:
            self.unanswered.append((program, turn))

    def _repeat(self, host, program):
        """Repeats a turn whose caller got no answer."""
        matching = [turn for name, turn in self.unanswered if name == program]
        if not matching:
            return
        turn = matching[-1]
        new = turn.messages[-1:]
        found = self.fleet.begin(
            host, new, program, new_only=True, turn=turn.number, max_tokens=600
        )
        if not is_successful(found):
            return
        again = found.unwrap()
        if again.answer is None:
            self.open_turns.append((host, program, again))
        else:
            self.shown[program] += [new[0]["content"], again.answer["content"]]
        self.unanswered = [u for u in self.unanswered if u[0] != program]

    def _cut_finish(self, host, program):
        """Isolates a host just before its turn ends, then repeats the turn there."""
        self._begin(host, program)
        others = [name for name in "abc" if name != host]
        self.fleet.network.wire.cut([host], others)
        self._finish(host, program)
        self._repeat(host, program)
        if not self.paused:
            self.fleet.settle(12)
            self.fleet.network.wire.heal()

    def _end(self, host, program):
        if is_successful(self.fleet.end(host, program)):
            self.ended.add(program)

    def _crash(self, host, restart=False):
        if self.host_lost or self.paused or host not in self.fleet.hosts:
            return
        self.host_lost = True
        self.fleet.crash(host)
        self.open_turns = [o for o in self.open_turns if o[0] != host]
        if restart:
            self.fleet.join(host)
            self.fleet.store_down(self.is_store_down)

    def _restart(self, host):
        self._crash(host, restart=True)

    def _pause(self, host):
        if host in self.fleet.hosts and not self.paused and not self.host_lost:
            others = [name for name in "abc" if name != host]
            self.fleet.network.wire.cut([host], others)
            self.paused[host] = self.fleet.hosts.pop(host)

    def _wake(self, host):
        self.fleet.network.wire.heal()
        self.fleet.hosts |= self.paused
        for name in self.paused:
            self._turn(name, "p")
        self.paused.clear()

    def _down(self, host):
        self.is_store_down = True
        self.fleet.store_down(True)

    def _up(self, host):
        self.is_store_down = False
        self.fleet.store_down(False)
        if not self.paused:
            self.fleet.settle(20)
            self.host_lost = False


@settings(max_examples=40, deadline=None, derandomize=True)
@given(schedules, st.integers(0, 2))
def test_no_schedule_of_faults_loses_mixes_or_overspends(events, seed):
    schedule = Schedule(seed)
    fleet = schedule.fleet
    for event in events:
        schedule.apply_event(*event)
    schedule._wake("a")
    schedule._up("a")
    fleet.network.wire.faults = WireFaults()
    for _ in range(16):
        fleet.wait(1.0)
    for host, program, _ in list(schedule.open_turns):
        schedule._finish(host, program)
    host = next(iter(fleet.hosts))
    for program, shown in schedule.shown.items():
        if shown and program not in schedule.ended:
            kept = fleet.contents(host, program)
            assert [content for content in kept if content in shown] == shown
            assert all(content.startswith(program) for content in kept)
        assert schedule.spent[program] <= BUDGET
        fleet.end(host, program)
    for _ in range(6):
        fleet.wait(1.0)
    fleet.sweep_engines()
    fleet.sweep_engines()
    assert not fleet.engine.held
    fleet.loop.close()
