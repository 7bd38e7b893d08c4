"""Finds the data centres that may see the body of a request."""

from collections.abc import Mapping

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
    by_team = () if team is None else team.allowed_regions
    stated = [frozenset(names) for names in (route.allowed_regions, by_team) if names]
    if not stated:
        return None
    allowed = frozenset.intersection(*stated)
    return frozenset(name for name, region in regions.items() if region in allowed)
