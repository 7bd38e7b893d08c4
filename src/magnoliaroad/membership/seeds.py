"""Addresses of hosts to contact before the host records are known."""

from collections.abc import Iterable

from magnoliaroad.peers import PeerAddress


def seed_addresses(seeds: Iterable[str]) -> list[PeerAddress]:
    """Returns the addresses in ``seeds``, each ``ip:port``.

    The names and data centres of the hosts are not known yet, so the text of the
    seed serves as the name.

    Raises:
        ValueError: A seed is not ``ip:port``.
    """
    return [_parse(seed) for seed in seeds]


def _parse(seed: str) -> PeerAddress:
    address, _, port = seed.rpartition(":")
    if not address or not port.isdigit():
        raise ValueError(f"seed {seed!r} is not ip:port")
    return PeerAddress(seed, "", address, int(port))
