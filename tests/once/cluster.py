"""Hosts with an ``OnceService`` each, and a payout service that counts runs."""

import asyncio
import collections

from returns.pipeline import is_successful

from magnoliaroad.once import Conclusion, Intent, OnceService, OnceSettings
from magnoliaroad.once.stored import StoredAnswer
from magnoliaroad.verdict import Verdict
from tests.fakes import PeerNetwork, VirtualTimeLoop, Wire, WireFaults
from tests.fakes.groups import FakeGroupTable

SETTINGS = OnceSettings(begin_timeout_s=2.0, lost_after_s=5.0)
RUN_S = 0.5


class Cluster:
    """Three hosts in virtual time."""

    def __init__(
        self, seed: int = 0, faults: WireFaults | None = None, append_s=0.0
    ) -> None:
        self.loop = VirtualTimeLoop()
        self.network = PeerNetwork(Wire(seed, faults))
        self.table = FakeGroupTable(seed, append_s)
        self.hosts: dict[str, OnceService] = {}
        self.runs: collections.Counter[str] = collections.Counter()
        self.answers: dict[str, set[str]] = collections.defaultdict(set)
        self.incarnations: dict[str, object] = {}
        for host in ("a", "b", "c"):
            self.start(host)

    def start(self, host: str) -> None:
        """Starts or restarts ``host``; a restart loses its in-memory state."""
        self.incarnations[host] = object()
        self.hosts[host] = OnceService(
            SETTINGS,
            host,
            self.table.join(host),
            self.network.join(host),
            self.loop.time,
        )

    def crash(self, host: str) -> None:
        """Crashes ``host``; attempts it has begun are never finished."""
        self.network.crash(host)
        self.incarnations[host] = None

    def run(self, coro):
        return self.loop.run_until_complete(coro)

    async def pay(
        self, host: str, key: str, body: str = "500", outcome=Verdict.RAN
    ) -> str:
        """Sends a payment to ``host``; returns its answer or refusal code.

        Args:
            host: Host that receives it.
            key: Its ``Idempotency-Key``.
            body: Its body.
            outcome: How the exchange with the service ends; ``None`` when the
                host dies while the service runs the payment.
        """
        incarnation = self.incarnations[host]
        once = self.hosts[host]
        result = await once.begin(Intent("arcades", "payouts", key, body))
        if not is_successful(result):
            return result.failure().code
        attempt = result.unwrap()
        if isinstance(attempt, StoredAnswer):
            return attempt.body.decode()
        if incarnation is None or self.incarnations[host] is not incarnation:
            return "host lost"
        if outcome is Verdict.NOT_RUN:
            await once.finish(attempt, Conclusion(Verdict.NOT_RUN))
            return "target_failed"
        self.runs[key] += 1
        await asyncio.sleep(RUN_S)
        if outcome is None or self.incarnations[host] is not incarnation:
            return "host lost"
        answer = StoredAnswer(200, (), f"run {self.runs[key]}".encode())
        stored_answer = answer if outcome is Verdict.RAN else None
        await once.finish(attempt, Conclusion(outcome, stored_answer))
        return answer.body.decode() if stored_answer else "may_have_run"
