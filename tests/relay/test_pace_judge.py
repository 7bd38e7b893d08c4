"""A host that is slow, and the hosts that go without it."""

from magnoliaroad.relay.pace_judge import SLOW_SAMPLES, SOUND_SAMPLES, PaceJudge


def judge_after(*lags):
    judge = PaceJudge()
    for lag_s in lags:
        judge.note(lag_s)
    return judge


def test_late_timers_make_a_host_slow():
    assert not judge_after(*[0.2] * (SLOW_SAMPLES - 1)).slow
    assert judge_after(*[0.2] * SLOW_SAMPLES).slow


def test_one_late_timer_says_nothing():
    assert not judge_after(*[0.001] * 20, 0.25, *[0.001] * 20).slow


def test_a_host_is_sound_again_after_longer():
    judge = judge_after(*[0.2] * SLOW_SAMPLES)
    changes = [judge.note(0.001) for _ in range(SOUND_SAMPLES)]
    assert changes == [False] * (SOUND_SAMPLES - 1) + [True]
    assert not judge.slow


def test_a_host_stays_slow_while_timers_are_late_now_and_then():
    judge = judge_after(*[0.2] * SLOW_SAMPLES)
    for _ in range(10):
        for lag_s in (0.001, 0.001, 0.06):
            judge.note(lag_s)
    assert judge.slow
