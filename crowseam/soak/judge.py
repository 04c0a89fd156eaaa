"""Checks the history of a soak test against the guarantees of the fleet."""

from __future__ import annotations

import signal
from collections import Counter, defaultdict

from crowseam.soak.history import DISCONNECTED, Call, History, Kind, ProcessAction, Run

KEY_WINDOW_S = 60.0
NOT_RUN_STATUSES = (429, 503, 408, 421)  # these guarantee that no server ran or will run the request
RECOVERY_TIME_S = 3.0  # after the last fault; from then on nearly all calls must be served
MIN_SERVED_SHARE = 0.9
INVALID_REQUEST_STATUSES = (400, 401, 403, 404, 413, 422, 431)  # never expected, as all requests are valid


def violations(history: History) -> list[str]:
    """Return one line per violated guarantee, prefixed by the name of the rule."""
    runs = defaultdict(list)
    for run in history.runs:
        runs[run.attempt].append(run)
    messages = _duplicate_runs(history)
    messages += [
        f"UNASKED: {run.attempt} was run with other bytes in its body" for run in history.runs if not run.is_body_intact
    ]
    for call in history.calls:
        messages += _check_call(call, runs[call.attempt])
    messages += _mismatched_answers(history)
    messages += _lost_answers(history, runs)
    messages += _unexpected_exits(history)
    messages += _configuration(history)
    messages += _recovery(history)
    return messages


def _duplicate_runs(history: History) -> list[str]:
    messages = []
    kinds = {call.attempt: call.kind for call in history.calls}
    by_operation: dict[str, list[Run]] = defaultdict(list)
    for run in history.runs:
        kind = kinds.get(run.attempt)
        if kind is Kind.UNSAFE:
            by_operation[f"attempt {run.attempt}"].append(run)
        elif kind is Kind.KEYED:
            by_operation[f"key {run.key}"].append(run)
    for operation, runs in by_operation.items():
        if len(runs) > 1 and runs[1].began_at - runs[0].began_at < KEY_WINDOW_S:
            messages.append(f"TWICE: {operation} ran {len(runs)} times, as {[run.attempt for run in runs]}")
    return messages


def _check_call(call: Call, runs: list[Run]) -> list[str]:
    messages = []
    if call.status in NOT_RUN_STATUSES and runs and call.kind is not Kind.SAFE:
        messages.append(f"REFUSED: {call.attempt} was answered {call.status}, but a server ran it")
    if call.status == 200:
        if call.answer_attempt != call.attempt:
            messages.append(f"MIXED: {call.attempt} got the response of attempt {call.answer_attempt!r}")
        if call.kind is not Kind.KEYED and (call.seal, call.body) not in {(run.seal, run.body) for run in runs}:
            messages.append(f"MIXED: {call.attempt} got a response that none of its runs produced")
    if call.status in INVALID_REQUEST_STATUSES:
        messages.append(f"DENIED: {call.attempt} was answered {call.status}, although the request is valid")
    return messages


def _mismatched_answers(history: History) -> list[str]:
    """Each successful response of a keyed operation must come from a run of that operation."""
    by_key: dict[str, set[tuple[str, str]]] = defaultdict(set)
    for run in history.runs:
        by_key[run.key].add((run.seal, run.body))
    return [
        f"MIXED: key {call.key} got a response that none of its runs produced"
        for call in history.calls
        if call.kind is Kind.KEYED and call.status == 200 and (call.seal, call.body) not in by_key[call.key]
    ]


def _lost_answers(history: History, runs: dict[str, list[Run]]) -> list[str]:
    """A gateway that shuts down in order must answer every request that it has forwarded."""
    interrupted_at = {
        (event.process, event.incarnation): event.at
        for event in history.events
        if event.act in (ProcessAction.KILL, ProcessAction.FREEZE, ProcessAction.UNEXPECTED_EXIT)
    }
    return [
        f"LOST: {call.attempt} was forwarded by {call.gateway}, but its connection closed without a response"
        for call in history.calls
        if call.status == DISCONNECTED
        and runs[call.attempt]
        and not any(run.broke_off for run in runs[call.attempt])
        and interrupted_at.get((call.gateway, call.incarnation), float("inf")) > call.ended_at
    ]


def _unexpected_exits(history: History) -> list[str]:
    stopped_at_start = _stopped_before_accepting(history)
    return [
        f"FAULT: {event.process} exited unexpectedly ({event.detail})"
        for event in history.events
        if event.act is ProcessAction.UNEXPECTED_EXIT
        and not (event.exit_code == -signal.SIGTERM and (event.process, event.incarnation) in stopped_at_start)
    ]


def _stopped_before_accepting(history: History) -> set[tuple[str, int]]:
    """Gateways, by name and incarnation, that got SIGTERM before they accepted a connection.

    The signal ends such a process at once, as its handler is installed when the process starts to listen.
    """
    gateways = {(call.gateway, call.incarnation) for call in history.calls}
    return {
        (event.process, event.incarnation)
        for event in history.events
        if event.act is ProcessAction.TERMINATE
        and event.process.startswith("gateway")
        and (event.process, event.incarnation) not in gateways
    }


def _configuration(history: History) -> list[str]:
    messages = []
    acknowledged = [change for change in history.changes if change.outcome == 200]
    parents = Counter(change.parent for change in acknowledged)
    messages += [
        f"CONFIG: {count} changes with parent version {parent} were accepted"
        for parent, count in parents.items()
        if count > 1
    ]
    newest = max((change.version for change in acknowledged), default=0)
    allowed = {newest} | {
        change.version for change in history.changes if change.outcome == 0 and change.version > newest
    }
    if history.final_version not in allowed:
        messages.append(f"CONFIG: version {history.final_version} was read back, but {newest} was acknowledged")
    return messages


def _recovery(history: History) -> list[str]:
    """Nearly all calls must be served, except those whose server closed the connection without an answer.

    An operation that may have run is not run again, so the repeats of its key are not served either.
    """
    broken_off = {run.key or run.attempt for run in history.runs if run.broke_off}
    calls = [
        call
        for call in history.calls
        if call.sent_at >= history.calm_since + RECOVERY_TIME_S
        and (call.key if call.kind is Kind.KEYED else call.attempt) not in broken_off
    ]
    served = sum(call.status == 200 for call in calls)
    if calls and served < MIN_SERVED_SHARE * len(calls):
        statuses = Counter(call.status for call in calls)
        return [f"RECOVER: {served} of {len(calls)} calls were served after the last fault: {dict(statuses)}"]
    return []
