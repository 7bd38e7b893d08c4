"""Reports what counts for and against each target of a service."""

from magnoliaroad.explain.explanation import (
    CandidateReport,
    LimitReport,
    StatedLoadReport,
)
from magnoliaroad.relay.parts import RelayParts
from magnoliaroad.relay.placer import PlacementNeed, Preview
from magnoliaroad.relay.target import RelayTarget, TargetState, start_of
from magnoliaroad.relay.target_limit import FIRST_TRY, PROMPT_HELD
from magnoliaroad.target_model.expected_end import expected_end_s


class CandidateReports:
    """The targets of the service of one request.

    Args:
        parts: Components of the host, which stay as they are.
        need: What the request needs.
        preview: What would become of it.
        now: Monotonic time in seconds.
    """

    def __init__(
        self, parts: RelayParts, need: PlacementNeed, preview: Preview, now: float
    ) -> None:
        self._parts = parts
        self._need = need
        self._now = now
        self._usable = {target.name for target in preview.usable}
        decision = preview.decision
        self._chosen = "" if decision is None else decision.target.name
        self._expected_s: dict[str, float] = {}
        model = parts.target_model
        if need.streams and preview.usable and model.is_active(need.service, now):
            known = model.candidates(
                preview.usable,
                need.route,
                parts.cfg.data_centre,
                need.prompt_tokens,
                now,
            )
            tokens = need.prompt_tokens + need.output_tokens
            self._expected_s = {
                one.name: expected_end_s(one, one.name == need.placed, tokens)
                for one in known
            }

    def all(self) -> tuple[CandidateReport, ...]:
        """Returns the chosen target, then usable ones, then the others."""
        reports = [
            self._report(target)
            for target in self._parts.table.targets.values()
            if target.service == self._need.service
        ]
        return tuple(
            sorted(reports, key=lambda r: (not r.chosen, not r.usable, r.name))
        )

    def _report(self, target: RelayTarget) -> CandidateReport:
        table, model, now = self._parts.table, self._parts.target_model, self._now
        allowed = self._need.data_centres
        counted = table.load(target.name)
        report = CandidateReport(
            name=target.name,
            chosen=target.name == self._chosen,
            usable=target.name in self._usable,
            data_centre=target.data_centre,
            state=target.state.value,
            leaving=target in table.leaving,
            evacuated=target.data_centre in table.evacuations,
            outside_regions=allowed is not None and target.data_centre not in allowed,
            cooldown_s=table.cooldown_s(target.name, now),
            cold_s=table.cold.remaining_s(target, now),
            limit=self._report_limit(target),
            slots=target.slots,
            load_counted=counted,
            load_own=table.in_flight.get(target.name, 0),
            load_stated=self._report_stated_load(target),
            load_assumed=self._load(target),
            pace_s=model.paces.find(start_of(target), now),
            expected_s=self._expected_s.get(target.name),
            favour=[],
            against=[],
        )
        return report._replace(
            favour=self._favour(report), against=self._against(report)
        )

    def _load(self, target: RelayTarget) -> float:
        """Returns the load by which the choice is made."""
        model = self._parts.target_model
        if not model.is_active(self._need.service, self._now):
            return float(self._parts.table.load(target.name))
        return model.loads_of([target], self._now)[0][0]

    def _report_limit(self, target: RelayTarget) -> LimitReport | None:
        limiter = self._parts.target_limiter
        reserved = PROMPT_HELD if target.name == self._need.placed else FIRST_TRY
        limit = limiter.view(target, reserved, self._now)
        if limit is None:
            return None
        stated = limiter.limits.find(target)
        is_stated = stated is not None and stated.rate is not None
        return LimitReport(
            rate=limit.rate,
            stated=stated.rate if is_stated else None,
            age_s=self._now - stated.stated_at if is_stated else None,
            counted_by=limit.home or self._parts.cfg.name,
            wait_s=limit.wait_s,
        )

    def _report_stated_load(self, target: RelayTarget) -> StatedLoadReport | None:
        statement = self._parts.target_model.loads.statement(target)
        if statement is None:
            return None
        return StatedLoadReport(*statement.load, age_s=self._now - statement.at)

    def _favour(self, report: CandidateReport) -> list[str]:
        found = []
        if report.name == self._need.placed:
            found.append("served the program's last turn")
        if report.data_centre == self._parts.cfg.data_centre:
            found.append("in the data centre of this host")
        if report.usable and report.load_assumed < report.slots:
            found.append("has a free slot")
        earliest_s = min(self._expected_s.values(), default=None)
        if report.expected_s is not None and report.expected_s == earliest_s:
            found.append("earliest expected end")
        return found

    def _against(self, report: CandidateReport) -> list[str]:
        found = self._bars(report)
        if report.cooldown_s:
            found.append(f"in cooldown for {report.cooldown_s:.2f} s after a failure")
        if report.data_centre in self._parts.table.silent_data_centres:
            found.append("its data centre is out of contact")
        if not report.usable and not found:
            # The only rule of ``TargetTable.usable`` that no other field shows.
            found.append("its events come much later than those of the others")
        if report.data_centre != self._parts.cfg.data_centre:
            found.append("in another data centre")
        if report.cold_s:
            found.append(f"cold for {report.cold_s:.2f} s")
        if report.limit is not None:
            found.append(_describe_limit(report.limit))
        if report.load_assumed >= report.slots:
            found.append("no free slot")
        return found

    def _bars(self, report: CandidateReport) -> list[str]:
        """Returns the reasons for which a target gets no request in any case."""
        found = []
        if report.state != TargetState.READY.value:
            found.append(f"{report.state} by its entry")
        if report.leaving:
            found.append("has announced that it stops")
        if report.evacuated:
            found.append("its data centre is evacuated")
        if report.outside_regions:
            found.append("outside the allowed regions")
        return found


def _describe_limit(limit: LimitReport) -> str:
    text = f"takes {limit.rate:g} requests a second"
    if limit.wait_s is None:
        return f"{text}, which {limit.counted_by} counts"
    return f"{text}, the next in {limit.wait_s:.2f} s" if limit.wait_s else text
