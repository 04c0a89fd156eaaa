"""The metrics that a daemon exports: plain data, collected on the event loop and rendered by `exposition`."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from crowseam.metrics.latency import LATE, SERVED, RequestRecorder, SeriesKey
from crowseam.quotas.shards import ROLE_KEYS
from crowseam.transport.links import Link

MAX_EXPORTED_SHARES = 300  # tenants whose share is exported


class Family(NamedTuple):
    """One metric. kind: counter, gauge, or histogram, whose rows have sketches as values."""

    kind: str
    name: str
    text: str
    labels: tuple[str, ...]
    rows: Iterable[tuple[tuple[str, ...], object]]


def _single(kind: str, name: str, text: str, value: float) -> Family:
    return Family(kind, name, text, (), [((), float(value))])


def _by_label(kind: str, name: str, text: str, label: str, counts: Mapping[str, float]) -> Family:
    return Family(kind, name, text, (label,), [((each,), float(counts[each])) for each in sorted(counts)])


def _quantiles(copies: list[tuple[SeriesKey, object]]) -> Iterator[tuple[tuple[str, ...], float]]:
    """Latency quantiles by route and service; expensive, so a generator for the rendering thread."""
    answered: dict[tuple[str, str], object] = {}
    for (route, service, outcome), sketch in copies:
        if outcome not in (SERVED, LATE):
            continue
        if (known := answered.get((route, service))) is None:
            answered[route, service] = sketch.copy()
        else:
            known.merge(sketch)
    for key, sketch in answered.items():
        for name in ("0.5", "0.99", "1"):
            yield (*key, name), sketch.get_quantile_value(float(name))


def of_recorder(recorder: RequestRecorder) -> list[Family]:
    """The metrics of a recorder of requests."""
    reasons: dict[str, dict[str, int]] = {"refused": {}, "failed": {}}
    for (outcome, reason), count in recorder.reasons.items():
        reasons[outcome][reason] = count
    copies = recorder.copy_series()
    return [
        Family(
            "histogram",
            "crowseam_request_seconds",
            "From a client's whole request to its answer.",
            ("route", "service", "outcome"),
            copies,
        ),
        Family(
            "gauge",
            "crowseam_answer_quantile_seconds",
            "Latency of what was served or late, since the start and within 1%; 1 is the worst.",
            ("route", "service", "quantile"),
            _quantiles(copies),
        ),
        _by_label(
            "counter",
            "crowseam_answers",
            "Answers by the class of their status.",
            "class",
            {f"{kind}xx": count for kind, count in recorder.answers.items()},
        ),
        _by_label(
            "counter", "crowseam_refused", "Requests that no server ran, by reason.", "reason", reasons["refused"]
        ),
        _by_label(
            "counter",
            "crowseam_failed",
            "Requests that may have run and got no good answer, by reason.",
            "reason",
            reasons["failed"],
        ),
        _single("counter", "crowseam_gone", "Clients that left before their answer.", recorder.disconnected_clients),
        _single(
            "counter", "crowseam_latencies_skipped", "Requests at the start that no histogram has.", recorder.skipped
        ),
    ]


def of_gateway(process) -> list[Family]:
    """The metrics of a gateway process."""
    gateway, session = process.gateway, process.controller_session
    rejected_counts = {str(status): count for status, count in process.reader.rejected_counts.items()}
    return [
        *of_recorder(gateway.metrics),
        _by_label(
            "counter", "crowseam_turned_away", "Requests that could not be taken, by status.", "status", rejected_counts
        ),
        _single("gauge", "crowseam_ready", "Whether it says that it is ready.", process.ready()),
        _single("gauge", "crowseam_slot", "Place in the log of configurations.", session.slot),
        _single("gauge", "crowseam_under_way", "Requests without an answer, and attempts.", gateway.in_flight_count),
        _single("gauge", "crowseam_gateways", "Gateways that are members.", gateway.gateway_count),
        _single("gauge", "crowseam_in_session", "Whether a controller is followed.", session.link is not None),
        _single("gauge", "crowseam_client_connections", "Connections of clients.", len(process.server.connections)),
        _server_connections(gateway.backends),
        *_shares(gateway),
        _retries(gateway),
        *_operations_of_gateway(gateway.keyed_requests),
    ]


def _operations_of_gateway(keyed) -> list[Family]:
    """Claims of keyed operations, and their unsettled ends and withdrawals."""
    quantiles = {name: keyed.latency_quantile_s(float(name)) for name in ("0.5", "0.99")}
    return [
        _by_label(
            "counter", "crowseam_operation_claims", "Claims of keyed operations by outcome.", "outcome", keyed.counts
        ),
        _by_label(
            "gauge",
            "crowseam_operation_claim_seconds",
            "Latency of the decision on a claim, of the newest 1,000.",
            "quantile",
            quantiles,
        ),
        _single(
            "gauge",
            "crowseam_operations_unsettled",
            "Ends and withdrawals that no majority has on disk.",
            keyed.claims.unsettled,
        ),
    ]


def _server_connections(pools) -> Family:
    idle = sum(len(upstream.idle) for upstream in pools.upstreams.values())
    counts = {"busy": max(0, len(pools.connections) - idle), "idle": idle, "connecting": len(pools.connecting)}
    return _by_label("gauge", "crowseam_server_connections", "Connections to servers.", "state", counts)


def _shares(gateway) -> list[Family]:
    """Shares of quotas that are leased to a gateway."""
    tenants = gateway.table.tenants if gateway.table is not None else {}
    admitted = gateway.admission.tenants
    shares = {name: admitted[name].share for name, tenant in tenants.items() if tenant.rate > 0.0 and name in admitted}
    leased = {name: share for name, share in shares.items() if share is not None}
    reported = {name: leased[name] for name in sorted(leased)[:MAX_EXPORTED_SHARES]}
    missing = float(len(shares) - len(leased))
    return [
        _by_label(
            "gauge", "crowseam_share", "Part of a tenant's quota that is lent to this gateway.", "tenant", reported
        ),
        _single("gauge", "crowseam_shares_missing", "Tenants with a quota of which nothing is lent here.", missing),
    ]


def _retries(gateway) -> Family:
    services = gateway.table.svcs if gateway.table is not None else {}
    counts = {name: count for name, count in gateway.budget.retried.items() if name in services}
    return _by_label("counter", "crowseam_retries", "Further tries that were spent.", "service", counts)


def of_controller(api, now: float) -> list[Family]:
    """The metrics of the controller of a control API; `now` in seconds of its monotonic clock."""
    node, peers = api.node, api.peers
    held_roles = sum(api.role_leases.holder(key, now) == peers.me for key in ROLE_KEYS)
    return [
        _by_label("counter", "crowseam_calls", "Calls of servers and operators by name.", "call", api.call_counts),
        _single(
            "counter",
            "crowseam_unreadable",
            "Messages of other processes that could not be read.",
            Link.unreadable_messages,
        ),
        _single("gauge", "crowseam_slot", "Place in the log of configurations.", node.last_slot),
        _single(
            "gauge",
            "crowseam_in_touch",
            "Whether a majority of the voters is reached.",
            peers.is_majority_reachable(now),
        ),
        _single("gauge", "crowseam_gateways", "Gateways that are members.", api.session_table.count(now)),
        _single("gauge", "crowseam_servers", "Servers that are known.", len(api.registry.snapshot(now))),
        _single("gauge", "crowseam_voters", "Who votes, in number.", len(node.voters)),
        _single("gauge", "crowseam_voter", "Whether this one votes.", node.me in node.voters),
        _single("gauge", "crowseam_duties_held", "Duties that this one has.", held_roles),
        _single("gauge", "crowseam_waiting_calls", "Calls that wait for a majority.", len(api.agreement.pending_calls)),
        _single("gauge", "crowseam_disk_late_seconds", "How long the oldest write is overdue.", api.store.overdue_s()),
        *_operations_of_controller(api.operations),
    ]


def _operations_of_controller(operations) -> list[Family]:
    """Keyed operations that this controller stores as a voter, and coordinates for gateways."""
    replica = operations.replica
    votes = operations.catch_up.is_caught_up
    return [
        _by_label(
            "gauge", "crowseam_operation_records", "Keyed operations kept, by state.", "state", replica.count_states()
        ),
        _single("gauge", "crowseam_operation_bytes", "Bytes of them, with space set aside.", replica.used_bytes),
        _single("gauge", "crowseam_operation_bytes_max", "Bytes beyond which no claim is accepted.", replica.max_bytes),
        _single("gauge", "crowseam_operation_rounds", "Requests to the voters under way.", len(operations.coordinator)),
        _single("gauge", "crowseam_operation_voter", "Whether this one votes on claims.", votes),
        _single("counter", "crowseam_operations_expired", "Keyed operations past their window.", replica.expired),
    ]
