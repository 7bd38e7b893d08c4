"""Size and load time of the configuration at the design size."""

import time

from magnoliaroad.config import Config, KeyGrant, Route, RouteKind, Target, Team
from magnoliaroad.config.head import ConfigHead, pack_head
from magnoliaroad.config.part import split_config
from magnoliaroad.config.part_ref import PartRef
from magnoliaroad.config.replica import ConfigReplica
from magnoliaroad.keys import Withdrawals, digest_key

TEAMS = 5_100
KEYS_OF_TEAM = 2
TARGETS = 1_900
ROUTES = 8
WITHDRAWN = 100_000


def large_config() -> Config:
    """Returns a configuration with 5,100 teams and 1,900 targets."""
    team_names = [f"team-{n:04d}" for n in range(TEAMS)]
    grants = {}
    for name in team_names:
        for number in range(KEYS_OF_TEAM):
            digest = digest_key(f"{name}/{number}")
            grants[digest] = KeyGrant(f"{name}-key-{number}", name, digest)
    routes = [f"model-{n}" for n in range(ROUTES)]
    return Config(
        revision=1,
        teams={name: Team(name, 10.0, 20.0) for name in team_names},
        grants=grants,
        routes={n: Route(n, RouteKind.ENGINE, tuple(team_names)) for n in routes},
        targets={
            f"engine-{n}": Target(
                f"engine-{n}", routes[n % 8], "http://10.0.0.1:1", "a"
            )
            for n in range(TARGETS)
        },
    )


def measure_sizes() -> dict[str, float]:
    """Returns sizes in bytes and load times in milliseconds, by name."""
    config = large_config()
    parts = split_config(config)
    changed = config.teams | {"team-0042": Team("team-0042", 99.0, 20.0)}
    new_parts = split_config(config._replace(teams=changed))
    old_digests = {part.digest for part in parts}
    added = [part for part in new_parts if part.digest not in old_digests]
    replica = ConfigReplica()
    first_ms = _load_ms(replica, 1, parts)
    change_ms = _load_ms(replica, 2, new_parts)
    withdrawn = Withdrawals()
    withdrawn.merge(bytes.fromhex(digest_key(str(n)))[:16] for n in range(WITHDRAWN))
    shards = [len(withdrawn.shard(number)) * 16 for number in range(64)]
    return {
        "config_bytes_5100_teams": sum(len(part.data) for part in parts),
        "parts_5100_teams": len(parts),
        "head_bytes_5100_teams": len(pack_head(_head(1, parts))),
        "largest_part_bytes": max(len(part.data) for part in parts),
        "parts_changed_by_one_team": len(added),
        "bytes_changed_by_one_team": sum(len(part.data) for part in added),
        "first_load_ms": first_ms,
        "change_load_ms": change_ms,
        "withdrawn_shard_bytes_100000_keys": max(shards),
    }


def _head(revision: int, parts) -> ConfigHead:
    return ConfigHead(revision, tuple(PartRef(part.digest, 1) for part in parts))


def _load_ms(replica: ConfigReplica, revision: int, parts) -> float:
    started = time.perf_counter()
    for part in parts:
        replica.add(part.data)
    assert replica.install(_head(revision, parts))
    return (time.perf_counter() - started) * 1000
