"""Finds the data centres that may see the body of a request."""

from collections.abc import Iterable, Mapping

from magnoliaroad.relay.plan import RelayTeam
from magnoliaroad.relay.route import RelayRoute


def allowed_data_centres(
    route: RelayRoute, team: RelayTeam | None, regions: Mapping[str, str]
) -> frozenset[str] | None:
    """Returns the data centres that may see a request besides the host it came to.

    Route and team both bind. A data centre of unknown region is never among them.

    Args:
        route: Route of the request.
        team: Team that makes it; ``None`` on routes that need no key.
        regions: Region of each data centre, by name.

    Returns:
        Names of the data centres; ``None`` if neither states any region.
    """
    return data_centres_in(allowed_regions(route, team), regions)


def data_centres_in(
    allowed: frozenset[str] | None, regions: Mapping[str, str]
) -> frozenset[str] | None:
    """Returns the data centres in the regions ``allowed``; ``None`` for any."""
    if allowed is None:
        return None
    return frozenset(name for name, region in regions.items() if region in allowed)


def allowed_regions(route: RelayRoute, team: RelayTeam | None) -> frozenset[str] | None:
    """Returns the regions that route and team both allow; ``None`` for all."""
    by_team = () if team is None else team.allowed_regions
    stated = [frozenset(names) for names in (route.allowed_regions, by_team) if names]
    return frozenset.intersection(*stated) if stated else None


def must_stay_at_host(
    allowed: frozenset[str] | None, data_centres: Iterable[str]
) -> bool:
    """Whether a body must not be given to other hosts to keep.

    Copies of records move between hosts, so one data centre outside is enough.

    Args:
        allowed: Data centres that may see it; ``None`` for any.
        data_centres: The data centres of all hosts, those of unknown region included.
    """
    if allowed is None:
        return False
    return not allowed or not allowed.issuperset(data_centres)
