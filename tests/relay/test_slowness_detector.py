"""Detection of a slow host by the lag of its timers."""

from magnoliaroad.relay.slowness_detector import (
    HEALTHY_SAMPLES,
    SLOW_SAMPLES,
    SlownessDetector,
)


def detector_after(*lags):
    detector = SlownessDetector()
    for lag_s in lags:
        detector.add_sample(lag_s)
    return detector


def test_late_timers_make_a_host_slow():
    assert not detector_after(*[0.2] * (SLOW_SAMPLES - 1)).slow
    assert detector_after(*[0.2] * SLOW_SAMPLES).slow


def test_one_late_timer_does_not_make_a_host_slow():
    assert not detector_after(*[0.001] * 20, 0.25, *[0.001] * 20).slow


def test_a_slow_host_is_healthy_again_after_more_samples():
    detector = detector_after(*[0.2] * SLOW_SAMPLES)
    changes = [detector.add_sample(0.001) for _ in range(HEALTHY_SAMPLES)]
    assert changes == [False] * (HEALTHY_SAMPLES - 1) + [True]
    assert not detector.slow


def test_a_host_stays_slow_while_timers_are_late_now_and_then():
    detector = detector_after(*[0.2] * SLOW_SAMPLES)
    for _ in range(10):
        for lag_s in (0.001, 0.001, 0.06):
            detector.add_sample(lag_s)
    assert detector.slow
