"""What a host held of a team over time."""

from collections.abc import Sequence
from typing import NamedTuple


class Step(NamedTuple):
    """A change of what a host holds.

    Attributes:
        at: Time at which the host learned of the change.
        fraction: What the table says from then on.
        stopped: Whether those who lose by the change had stopped before.
        known_at: Time from which all that ever held shares know of the change.
    """

    at: float
    fraction: float
    stopped: bool = False
    known_at: float = float("inf")


class Segment(NamedTuple):
    """From ``start`` on, the host may use ``fraction``."""

    start: float
    fraction: float


def timeline(
    steps: Sequence[Step], gain_delay_s: float, is_founder: bool
) -> list[Segment]:
    """Returns what may be used when: losses at once, gains after ``gain_delay_s``.

    What members lost that had stopped before is gained at once, unless a change
    shortly before may have left it in use by others. A gain also counts once all
    that ever held shares know of it.

    Args:
        steps: Changes in the order in which they were learned.
        gain_delay_s: Time after which no other host can use an older table.
        is_founder: Whether there was no table before the first step.
    """
    times = {at for s in steps for at in (s.at, s.at + gain_delay_s, s.known_at)}
    times.discard(float("inf"))
    segments: list[Segment] = []
    for time in sorted(times):
        fraction = _usable_fraction(steps, time, gain_delay_s, is_founder)
        if not segments or segments[-1].fraction != fraction:
            segments.append(Segment(time, fraction))
    return segments


def _usable_fraction(
    steps: Sequence[Step], time: float, gain_delay_s: float, is_founder: bool
) -> float:
    usable = before = steps[0].fraction if is_founder else 0.0
    settled_at = float("-inf") if is_founder else steps[0].at + gain_delay_s
    for number, step in enumerate(steps):
        if step.at > time:
            break
        gain = step.fraction - before
        at_once = step.stopped and step.at >= settled_at
        if time >= min(step.at + gain_delay_s, step.known_at):
            usable = step.fraction
        elif gain <= 0 or at_once:
            usable = min(step.fraction, usable + max(0.0, gain))
        if number and not at_once:
            settled_at = max(settled_at, step.at + gain_delay_s)
        before = step.fraction
    return usable
