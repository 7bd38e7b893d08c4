"""Per-target state that placement decisions use."""

from collections.abc import Iterable

import xxhash

from magnoliaroad.config import Target
from magnoliaroad.queueing.job import Job
from magnoliaroad.routing.averages import Averages
from magnoliaroad.routing.circuit_breaker import CircuitBreaker
from magnoliaroad.routing.load_table import LoadTable
from magnoliaroad.routing.prefix_index import PrefixIndex
from magnoliaroad.routing.settings import RoutingSettings
from magnoliaroad.routing.target_view import TargetView
from magnoliaroad.routing.usage import Usage

AFFINITY_RANGE = 2**64


class TargetTracker:
    """Tracks load, cached prefixes, averages and circuit breakers of targets.

    Args:
        cfg: Settings of placement.
        data_centre: Data centre of the host.
    """

    def __init__(self, cfg: RoutingSettings, data_centre: str) -> None:
        self.cfg = cfg
        self.data_centre = data_centre
        self.loads = LoadTable(cfg.hint_lifetime_s)
        self.prefixes = PrefixIndex(cfg.index_entries)
        self._breakers: dict[str, CircuitBreaker] = {}
        self._averages: dict[str, Averages] = {}

    def retain_only(self, names: Iterable[str]) -> None:
        """Drops the breakers and averages of targets not in ``names``."""
        kept = set(names)
        for by_target in (self._breakers, self._averages):
            for name in set(by_target) - kept:
                del by_target[name]

    def breaker(self, target: str) -> CircuitBreaker:
        """Returns the circuit breaker of ``target``."""
        return self._breakers.setdefault(target, CircuitBreaker(self.cfg))

    def averages(self, target: str) -> Averages:
        """Returns the moving averages of ``target``."""
        return self._averages.setdefault(target, Averages())

    def allows(self, target: str, now: float) -> bool:
        """Returns whether the target's circuit breaker admits a request."""
        return self.breaker(target).allows(self.loads.own[target], now)

    def view(self, target: Target, job: Job, cached_tokens: int) -> TargetView:
        """Returns the data by which a policy scores ``target`` for ``job``."""
        name = target.name
        averages = self.averages(name)
        digest = xxhash.xxh3_64_intdigest(f"{job.program} {name}".encode())
        return TargetView(
            name=name,
            in_flight=self.loads.in_flight(name),
            placed=self.loads.placed[name],
            cached_tokens=cached_tokens,
            remote=target.data_centre != self.data_centre,
            service_s=averages.service_s,
            answer_tokens=averages.answer_tokens,
            affinity=digest / AFFINITY_RANGE,
        )

    def record_sent(self, target: str, job: Job, now: float) -> None:
        """Records that ``job`` was sent to ``target``."""
        self.loads.add_request(target)
        self.prefixes.add_prefix(target, job.prefix, now)

    def record_ended(
        self, target: str, job: Job, usage: Usage, took_s: float, now: float
    ) -> None:
        """Records that ``job`` ended at ``target``, with its token usage."""
        self.loads.remove_request(target)
        if not usage.failed and usage.prompt_tokens:
            self.averages(target).add(took_s, usage)
            self.prefixes.add_prefix(target, job.prefix, now)
