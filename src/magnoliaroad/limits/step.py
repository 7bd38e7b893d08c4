"""The fraction of a team's rate that a host may use over time."""

from collections.abc import Sequence
from typing import NamedTuple


class Step(NamedTuple):
    """A change of the fraction that a host holds.

    Attributes:
        at: Time at which the host learned of the change.
        fraction: Fraction in the table from then on.
        stopped: Whether the members that lose shares had stopped using them before.
        known_at: Time from which all past and present members know of the change.
    """

    at: float
    fraction: float
    stopped: bool = False
    known_at: float = float("inf")


class Segment(NamedTuple):
    """The fraction that the host may use from ``start`` on."""

    start: float
    fraction: float


def timeline(
    steps: Sequence[Step], gain_delay_s: float, is_founder: bool
) -> list[Segment]:
    """Returns the fractions that may be used over time.

    A loss counts at once. A gain counts after ``gain_delay_s``, or once all past
    and present members know of it. It counts at once if the members that lost the
    shares had stopped using them, unless an earlier change may still leave the
    shares in use by other hosts.

    Args:
        steps: Changes in the order in which they were learned.
        gain_delay_s: Time after which no other host can use an older table.
        is_founder: Whether this host created the first table, so that no older
            table can be in use.
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
