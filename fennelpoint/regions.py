"""The paper's regulator: places flows in regions, cuts some in steps while one fails, gives capacity back."""
# A flow is whatever has a quota of the back end, such as a customer; nothing here knows requests or clocks.

from __future__ import annotations

from collections.abc import Callable
from dataclasses import KW_ONLY, dataclass, field
from math import inf
from typing import Generic, TypeVar

PERIOD_S = 0.5
STEPS_PER_CUT, STEP_FRACTION = 3, 0.05  # m; share of the rate sent that one constant step takes off
MAX_STEPS_PER_FLOW, RETURN_STEPS = 2.0, 2.0  # steps taken off one flow at a time; steps given back at a time
# Least 1 / S_p at which steps grow with it; largest growth; change of a rate or latency that revises a cut.
MIN_CONFIDENCE, MAX_STEP_SCALE, MAX_CHANGE = 2.0, 3.0, 2.0
FIT_MEMORY, MIN_FIT_POINTS = 0.98, 2.0  # weight of the past, a period; points that a fit must exceed
MEMORY, IDLE_RATE = 0.7, 0.05  # weight of the past in averages, a period; units a second of an idle flow
REGIONS = (("meet", "failed"), ("lucky", "exceeded"))  # [over its quota][over its latency target]


@dataclass(slots=True, eq=False)
class Flow:
    """The regulator's state of one flow; flows of the same worth are ordered by their keys."""

    key: int | str
    _: KW_ONLY
    last_request_at: float = -1e9
    sent_units: float = 0.0  # in this period
    rate: float = 0.0  # average units a second sent
    ratio: float = 0.0  # average latency over its target
    ratios: list[float] = field(default_factory=list)  # in this period
    worth: float = 0.0
    cap: float | None = None  # units a second while it is cut
    cap_level: float = 0.0  # units that the cut lets through now

    def fill_cap(self, depth: float, span: float) -> None:
        """Add what the cut lets through in `span` seconds, up to `depth` units."""
        if self.cap is not None:
            self.cap_level = min(depth, self.cap_level + self.cap * span)


FlowType = TypeVar("FlowType", bound=Flow)


@dataclass(slots=True, eq=False)
class Cut:
    """A decision: what each step takes off which flow, and the state in which it was made."""

    reductions: list[tuple[Flow, float]]
    worst_ratio: float
    rates: dict[int | str, float]
    lucky: set[int | str]
    predicted_ratio: float
    steps_taken: int = 0


class Fit:
    """Least squares fit of latency against the rate sent, with exponentially fading weights."""

    def __init__(self) -> None:
        self.weight = self.sum_x = self.sum_y = self.sum_xx = self.sum_xy = self.sum_yy = 0.0

    def add(self, x: float, y: float, memory: float) -> None:
        """Add a point; `memory` is the factor on the weight of all earlier points."""
        for name, value in (
            ("weight", 1.0),
            ("sum_x", x),
            ("sum_y", y),
            ("sum_xx", x * x),
            ("sum_xy", x * y),
            ("sum_yy", y * y),
        ):
            setattr(self, name, getattr(self, name) * memory + value)

    def predict(self, x: float) -> tuple[float, float]:
        """Return the predicted latency and its 1 / S_p (paper 4.4); 0 for too few or equal points."""
        weight = max(self.weight, 1e-9)
        mean, spread = self.sum_x / weight, self.sum_xx - self.sum_x * self.sum_x / weight
        slope = (self.sum_xy - self.sum_y * mean) / spread if spread > 1e-9 else 0.0
        residue = max(1e-9, self.sum_yy - self.sum_y * self.sum_y / weight - slope * slope * spread)
        if weight <= MIN_FIT_POINTS or spread <= 1e-9:
            return self.sum_y / weight + slope * (x - mean), 0.0
        error = residue / (weight - 2.0) * (1.0 + 1.0 / weight + (x - mean) ** 2 / spread)
        return self.sum_y / weight + slope * (x - mean), error**-0.5


class Regulator(Generic[FlowType]):
    """Cuts flows while a flow within its quota misses its latency target."""

    # `quota` returns a flow's units a second (inf: no limit), `min_rate` those it keeps when cut. `may_cut`
    # takes the failed flows and those that meet quota and target; returns the latter to cut, in that order.

    def __init__(
        self,
        quota: Callable[[FlowType], float],
        may_cut: Callable[[list[FlowType], list[FlowType]], list[FlowType]],
        min_rate: Callable[[FlowType], float] = lambda flow: 0.0,
    ) -> None:
        self.quota, self.may_cut, self.min_rate = quota, may_cut, min_rate
        self.active: dict[int | str, FlowType] = {}  # flows to look at when the period ends
        self.fit, self.sent_work = Fit(), 0.0
        self.cut: Cut | None = None
        self.has_failed = False  # whether any flow failed in the last period

    def record_sent(self, flow: FlowType, units: float, work: float) -> None:
        """Count units sent (0 for a retry) that mean this much work for the back end."""
        flow.sent_units += units
        self.sent_work += work
        self.active[flow.key] = flow

    def record_answer(self, flow: FlowType, ratio: float) -> None:
        """Count an answer whose latency was `ratio` times its target."""
        flow.ratios.append(ratio)
        self.active[flow.key] = flow

    def drop_idle(self, before: float) -> None:
        """Drop flows that are idle; those that are cut only if their last request came before `before`."""
        for flow in [
            flow for flow in self.active.values() if flow.cap is not None and flow.last_request_at < before
        ]:
            flow.cap = None  # bounds the memory: flows that are cut are not dropped
        self.active = {
            key: flow for key, flow in self.active.items() if flow.cap is not None or flow.rate > IDLE_RATE
        }

    def regulate(self, span: float) -> None:
        """End a period of `span` seconds: place the flows, then cut by a step or give capacity back."""
        rate, self.sent_work, ratios = self.sent_work / span, 0.0, []
        regions: dict[str, list[FlowType]] = {name: [] for pair in REGIONS for name in pair}
        for flow in sorted(self.active.values(), key=lambda flow: (flow.worth, flow.key)):
            if flow.ratios:
                flow.ratio = MEMORY * flow.ratio + (1 - MEMORY) * sum(flow.ratios) / len(flow.ratios)
            flow.rate = MEMORY * flow.rate + (1 - MEMORY) * flow.sent_units / span
            if flow.ratios or flow.sent_units:
                over = flow.rate > self.quota(flow) + 1e-9
                regions[REGIONS[over][flow.ratio > 1.0]].append(flow)
            ratios += flow.ratios
            flow.ratios, flow.sent_units = [], 0.0
        mean = sum(ratios) / len(ratios) if ratios else 0.0
        # Steps scale with the confidence in the fit when it is high enough; else they are constant.
        step = STEP_FRACTION * min(MAX_STEP_SCALE, max(1.0, self.fit.predict(rate)[1] / MIN_CONFIDENCE))
        worst = max((flow.ratio for flow in regions["failed"]), default=0.0)
        self.has_failed = bool(regions["failed"])
        if not self.has_failed:
            self.cut = None
            self._give_back(step)
        elif self.cut is None or (
            self.cut.steps_taken + 1 >= STEPS_PER_CUT and self._must_decide_anew(regions, worst, mean)
        ):
            self.cut = self._decide(regions, worst, rate, step)
        else:
            self.cut.steps_taken += 1
        for flow, amount in self.cut.reductions if self.cut else ():
            flow.cap = max(
                self.min_rate(flow), (flow.rate if flow.cap is None else min(flow.cap, flow.rate)) - amount
            )
        self.fit.add(rate, mean, FIT_MEMORY) if ratios else None

    def _must_decide_anew(self, regions: dict[str, list[FlowType]], worst: float, mean: float) -> bool:
        # Whether one of the paper's four reasons to drop a decision after m steps holds.
        cut, active = self.cut, [flow for group in regions.values() for flow in group]
        changes = [(flow.rate, cut.rates[flow.key]) for flow in active if flow.key in cut.rates] + [
            (mean, cut.predicted_ratio)
        ]
        return (
            worst > cut.worst_ratio
            or any(flow.key not in cut.lucky for flow in regions["lucky"])
            or any(not 1 / MAX_CHANGE <= (a + 0.01) / (b + 0.01) <= MAX_CHANGE for a, b in changes)
        )

    def _decide(self, regions: dict[str, list[FlowType]], worst: float, rate: float, step: float) -> Cut:
        # Choose the flows to cut: lucky, then exceeded, then meet where allowed; the least worth first.
        missing, reductions = step * sum(flow.rate for flow in self.active.values()), []
        meet = self.may_cut(regions["failed"], regions["meet"])
        for flow in regions["lucky"] + regions["exceeded"] + meet:
            reduction = min(missing, MAX_STEPS_PER_FLOW * step * flow.rate)
            missing -= reduction
            reductions.append((flow, reduction))
            if missing <= 0.0:
                break
        return Cut(
            reductions,
            worst,
            {flow.key: flow.rate for flow in self.active.values()},
            {flow.key for flow in regions["lucky"]},
            self.fit.predict(rate * (1.0 - step))[0],
        )

    def _give_back(self, step: float) -> None:
        # Give unused capacity back by worth; no flow's cap stays below its average rate.
        cut = [flow for flow in self.active.values() if flow.cap is not None]
        # A flow without a limit is no longer cut once its cap is the rate of all flows together.
        limits = {flow.key: self.quota(flow) for flow in cut}
        if inf in limits.values():
            total = max(1.0, sum(flow.rate for flow in self.active.values()))
            limits = {key: total if quota == inf else quota for key, quota in limits.items()}
        available = RETURN_STEPS * step * sum(limits.values())
        for flow in sorted(cut, key=lambda flow: (-flow.worth, flow.key)):
            amount = min(available, MAX_STEPS_PER_FLOW * RETURN_STEPS * step * limits[flow.key])
            flow.cap, available = max(flow.cap, flow.rate) + amount, available - amount
            flow.cap = flow.cap if flow.cap < limits[flow.key] else None
