"""Checks that hosts let callers resume streams."""

import asyncio

from tests.soak.callers import stream_problem

# Number of attempts during the faults, while a stream can be resumed, of which at least
# one must succeed.
MIN_RESUMES = 20
# Number of streams that are cut and resumed after the faults.
STREAM_COUNT = 20


def check_resumes(callers):
    """Returns a message if no attempt during the faults resumed a stream."""
    answers = callers.due_resumes
    if answers.total() < MIN_RESUMES or callers.resumes_continued:
        return []
    statuses = ", ".join(f"{n} answered {status}" for status, n in answers.items())
    return [f"none of {answers.total()} attempts resumed a stream: {statuses}"]


async def check_resumes_after_faults(fleet, callers):
    """Cuts streams in a sound fleet and resumes each at another relay host.

    Returns:
        A message for each that did not go on to its end.
    """
    lm_targets = [target for target in fleet.targets if target.service == "lm"]
    for target in lm_targets:
        target.script = ["cut"]
    streams = [f"after-{number}" for number in range(STREAM_COUNT)]
    begun = await asyncio.gather(
        *(
            callers.attempt_stream(stream, _relay(fleet, number))
            for number, stream in enumerate(streams)
        )
    )
    for target in lm_targets:
        target.script = ["ok"]
    resumed = await asyncio.gather(
        *(
            callers.attempt_stream(
                f"{stream}-again", _relay(fleet, number + 1), stream, attempt.events
            )
            for number, (stream, attempt) in enumerate(zip(streams, begun, strict=True))
        )
    )
    results = zip(streams, begun, resumed, strict=True)
    return [
        f"{stream}: cut with {first.status} after {len(first.events)} events, resumed"
        f" after the faults with {second.status} and {len(second.events)} events"
        for stream, first, second in results
        if not _went_on(first, second)
    ]


def _relay(fleet, number):
    return fleet.relay_hosts[number % len(fleet.relay_hosts)]


def _went_on(first, second):
    return (
        (first.status, second.status) == (None, 200)
        and second.events
        and not stream_problem([*first.events, *second.events], complete=True)
    )
