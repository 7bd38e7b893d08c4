"""Checks that callers of hosts without a path to targets are served (RECOVER)."""

from tests.soak.fleet import REJOIN_S

# Served at cut hosts, as a share of the rate at the others.
LEAST_SHARE = 2 / 3
# Requests that may fail there in any case, and the share of all that may besides.
SPARED_REQUESTS = 10
SPARED_SHARE = 1 / 50


def find_stranded(fleet, first_tries):
    """Returns a message if callers of cut hosts were served worse than others."""
    cut = [t for t in first_tries if _is_stranded(fleet, t)]
    others = [t for t in first_tries if _is_sound(fleet, t)]
    failed = sum(not t.served for t in cut)
    if failed <= SPARED_REQUESTS + SPARED_SHARE * (len(cut) + len(others)):
        return []
    share = _rate(cut) / max(_rate(others), 1e-9)
    if share >= LEAST_SHARE:
        return []
    return [
        f"hosts without targets served {len(cut) - failed} of {len(cut)} requests,"
        f" others {sum(t.served for t in others)} of {len(others)}"
    ]


def count_stranded(fleet, first_tries):
    """Returns how many requests cut hosts served, and how many they got."""
    cut = [t for t in first_tries if _is_stranded(fleet, t)]
    return sum(t.served for t in cut), len(cut)


def _rate(tries):
    return sum(t.served for t in tries) / max(1, len(tries))


def _is_stranded(fleet, attempt):
    """Whether a host in contact had been cut off for as long as contact takes."""
    return _is_sound(fleet, attempt) and any(
        span.begin + REJOIN_S <= attempt.sent_at <= span.end
        for span in attempt.host.target_cuts.items
    )


def _is_sound(fleet, attempt):
    """Whether host and store were undisturbed before and during the attempt."""
    begin, end = attempt.sent_at - REJOIN_S, attempt.sent_at
    host = attempt.host
    spans = (host.disruptions, host.stops, fleet.store_disruptions)
    return not any(span.overlap(begin, end) for span in spans)
