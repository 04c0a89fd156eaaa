"""Aggregates the metrics of several daemons: requests and latencies by route and service."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from typing import Any

from crowseam.cli import errors
from crowseam.cli.calls import make_client
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

UNLABELLED_METRICS = (
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
)  # shown per address, if exported


class MergedMetrics:
    """Merged metrics of several daemons. Latency sketches are rebuilt from the exported histogram buckets."""

    def __init__(self, new_sketch: Callable[[], Any]) -> None:
        self.new_sketch = new_sketch
        self.counts: dict[tuple[str, str], dict[str, int]] = {}
        self.sketches: dict[tuple[str, str], Any] = {}
        self.worst: dict[tuple[str, str], float] = {}

    def add(self, text: str) -> dict[str, float]:
        """Add the metrics of one daemon and return its unlabelled metrics by name. Raises ValueError."""
        from prometheus_client.parser import text_string_to_metric_families

        families = list(text_string_to_metric_families(text))  # parsed completely first, so that an error adds nothing
        samples = [sample for family in families for sample in family.samples]
        buckets: dict[tuple[str, str, str], list[tuple[float, float]]] = {}
        unlabelled = {}
        for name, labels, value, *_ in samples:
            if name == "crowseam_request_seconds_bucket":
                key = labels["route"], labels["service"], labels["outcome"]
                buckets.setdefault(key, []).append((float(labels["le"]), value))
            elif name == "crowseam_answer_quantile_seconds" and labels["quantile"] == "1":
                series = labels["route"], labels["service"]
                self.worst[series] = max(value, self.worst.get(series, 0.0))
            elif not labels and name.startswith("crowseam_"):
                unlabelled[name.removeprefix("crowseam_")] = value
        for (route, service, outcome), counts in buckets.items():
            counts.sort()
            row = self.counts.setdefault((route, service), dict.fromkeys(OUTCOMES, 0))
            row[outcome] = row.get(outcome, 0) + int(counts[-1][1])
            if outcome in (SERVED, LATE):
                sketch = self.new_sketch()
                for midpoint, count in _bucket_midpoints(counts):
                    sketch.add(midpoint, count)
                self.sketches.setdefault((route, service), self.new_sketch()).merge(sketch)
        return unlabelled

    def rows(self) -> list[dict[str, Any]]:
        """Return one record per route and service; times are in seconds, or None without answered requests."""
        records = []
        for key, row in sorted(self.counts.items()):
            sketch, worst = self.sketches.get(key), self.worst.get(key)
            requests, answered = sum(row.values()), row[SERVED] + row[LATE]
            p50 = p99 = None
            if answered:
                p50, p99 = (
                    round(min(sketch.get_quantile_value(quantile), worst or MAX_LATENCY_S), 4)
                    for quantile in (0.5, 0.99)
                )
            records.append(
                {
                    "route": key[0],
                    "service": key[1] or None,
                    "requests": requests,
                    "p50": p50,
                    "p99": p99,
                    "worst": None if worst is None else round(worst, 4),
                    "in_aim": round(row[SERVED] / requests, 4) if requests else None,
                    "refused": row[REFUSED],
                    "failed": row[FAILED],
                }
            )
        return records


def _bucket_midpoints(counts: list[tuple[float, float]]) -> Iterator[tuple[float, float]]:
    """Yield (geometric midpoint, count) of each non-empty bucket; for the unbounded one, its lower edge."""
    previous_total, lower = 0.0, MIN_LATENCY_S
    for upper, total in counts:
        if total > previous_total:
            yield (lower * upper) ** 0.5 if upper != float("inf") else lower, total - previous_total
        previous_total, lower = total, upper


def metrics(args: Args) -> int:
    """Print the merged metrics of the daemons at the addresses. FAILED if none was reached."""
    merged, by_address, errors_by_address = MergedMetrics(load_sketch_type()), {}, {}
    for address, result in sorted(make_client(args).call_all("metrics"), key=lambda item: item[0]):
        if address in by_address:
            continue  # the address is listed twice
        if result.is_error():
            errors_by_address[address] = str(result.error)
            continue
        try:
            by_address[address] = merged.add(result.ok.body.decode())
        except (ValueError, KeyError) as error:
            errors_by_address[address] = f"the answer can't be read: {error}"
    rows = merged.rows()
    if args["--json"]:
        print_json({"routes": rows, "at": by_address, "missed": errors_by_address})
    else:
        if by_address:
            print_text(table(rows) if rows else "no requests yet\n")
            records = [
                {"addr": addr} | {name: figures.get(name) for name in UNLABELLED_METRICS}
                for addr, figures in by_address.items()
            ]
            print_text("\n" + table(records))
        for address, text in errors_by_address.items():
            sys.stderr.write(f"{address}: {text}\n")
    return errors.DONE if by_address else errors.FAILED
