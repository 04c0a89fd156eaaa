"""The figures of several daemons as one table: requests and latencies by route and service, summed."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from typing import Any

from crowseam.cli import errors
from crowseam.cli.calls import caller
from crowseam.cli.console import Args, print_json, print_text
from crowseam.cli.tables import table
from crowseam.metrics.latency import (
    FAILED,
    LATE,
    MAX_LATENCY_S,
    MIN_LATENCY_S,
    OUTCOMES,
    REFUSED,
    SERVED,
    load_sketch_type,
)

PLAIN = (
    "ready",
    "under_way",
    "gateways",
    "in_session",
    "shares_missing",
    "in_touch",
    "servers",
    "voters",
    "duties_held",
    "waiting_calls",
    "disk_late_seconds",
    "slot",
)  # of each address, where it tells it


class Merged:
    """Sums the metrics of several daemons. Latencies are merged as sketches made of the exported buckets."""

    def __init__(self, make: Callable[[], Any]) -> None:
        self.make = make
        self.counts: dict[tuple[str, str], dict[str, int]] = {}
        self.sketches: dict[tuple[str, str], Any] = {}
        self.worst: dict[tuple[str, str], float] = {}

    def add(self, text: str) -> dict[str, float]:
        """Add the metrics of one daemon; return its plain figures by name. Raises ValueError."""
        from prometheus_client.parser import text_string_to_metric_families

        families = list(text_string_to_metric_families(text))  # read whole first: none is taken in by half
        samples = [sample for family in families for sample in family.samples]
        buckets: dict[tuple[str, str, str], list[tuple[float, float]]] = {}
        plain = {}
        for name, labels, value, *_ in samples:
            if name == "crowseam_request_seconds_bucket":
                key = labels["route"], labels["service"], labels["outcome"]
                buckets.setdefault(key, []).append((float(labels["le"]), value))
            elif name == "crowseam_answer_quantile_seconds" and labels["quantile"] == "1":
                place = labels["route"], labels["service"]
                self.worst[place] = max(value, self.worst.get(place, 0.0))
            elif not labels and name.startswith("crowseam_"):
                plain[name.removeprefix("crowseam_")] = value
        for (route, service, outcome), counts in buckets.items():
            counts.sort()
            row = self.counts.setdefault((route, service), dict.fromkeys(OUTCOMES, 0))
            row[outcome] = row.get(outcome, 0) + int(counts[-1][1])
            if outcome in (SERVED, LATE):
                sketch = self.make()
                for middle, count in _middles(counts):
                    sketch.add(middle, count)
                self.sketches.setdefault((route, service), self.make()).merge(sketch)
        return plain

    def rows(self) -> list[dict[str, Any]]:
        """One record for each route and service; times in seconds, None where nothing was answered."""
        found = []
        for key, row in sorted(self.counts.items()):
            sketch, worst = self.sketches.get(key), self.worst.get(key)
            asked, answered = sum(row.values()), row[SERVED] + row[LATE]
            half = most = None
            if answered:
                half, most = (
                    round(min(sketch.get_quantile_value(each), worst or MAX_LATENCY_S), 4) for each in (0.5, 0.99)
                )
            found.append(
                {
                    "route": key[0],
                    "service": key[1] or None,
                    "requests": asked,
                    "p50": half,
                    "p99": most,
                    "worst": None if worst is None else round(worst, 4),
                    "in_aim": round(row[SERVED] / asked, 4) if asked else None,
                    "refused": row[REFUSED],
                    "failed": row[FAILED],
                }
            )
        return found


def _middles(counts: list[tuple[float, float]]) -> Iterator[tuple[float, float]]:
    """What rising cumulative buckets hold, each at the middle of its edges by ratio."""
    before, low = 0.0, MIN_LATENCY_S
    for high, total in counts:
        if total > before:
            yield (low * high) ** 0.5 if high != float("inf") else low, total - before
        before, low = total, high


def metrics(args: Args) -> int:
    """Print what the daemons at the addresses have counted since they began. FAILED if none was reached."""
    merged, at, missed = Merged(load_sketch_type()), {}, {}
    for address, result in sorted(caller(args).each("metrics"), key=lambda each: each[0]):
        if address in at:
            continue  # named twice, and not to be counted so
        if result.is_error():
            missed[address] = str(result.error)
            continue
        try:
            at[address] = merged.add(result.ok.body.decode())
        except (ValueError, KeyError) as error:
            missed[address] = f"the answer can't be read: {error}"
    rows = merged.rows()
    if args["--json"]:
        print_json({"routes": rows, "at": at, "missed": missed})
    else:
        if at:
            print_text(table(rows) if rows else "no requests yet\n")
            plain = [{"addr": addr} | {name: figures.get(name) for name in PLAIN} for addr, figures in at.items()]
            print_text("\n" + table(plain))
        for address, text in missed.items():
            sys.stderr.write(f"{address}: {text}\n")
    return errors.DONE if at else errors.FAILED
