"""Holds the history of a soak against what the fleet promises."""

from __future__ import annotations

from collections import Counter, defaultdict

from crowseam.soak.history import CUT, Act, Call, History, Kind, Run

KEY_WINDOW_S = 60.0
PROMISES = (429, 503, 408, 421)  # it has not run and never will
CALM_AFTER_S = 3.0  # into the calm at the end, from which on nearly all is served
SERVED_AT_LEAST = 0.9
OWN_REFUSALS = (400, 401, 403, 404, 413, 422, 431)  # of requests that are all proper


def violations(history: History) -> list[str]:
    """Return a line for each promise that was broken."""
    runs = defaultdict(list)
    for run in history.runs:
        runs[run.attempt].append(run)
    found = _twice(history)
    for call in history.calls:
        found += _of_call(call, runs[call.attempt])
    found += _answers_that_differ(history)
    found += _lost_at_a_planned_end(history, runs)
    found += _own_ends(history)
    found += _configuration(history)
    found += _calm(history)
    return found


def _twice(history: History) -> list[str]:
    found = []
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
            found.append(f"TWICE: {operation} ran {len(runs)} times, as {[run.attempt for run in runs]}")
    return found


def _of_call(call: Call, runs: list[Run]) -> list[str]:
    found = []
    if call.status in PROMISES and runs and call.kind is not Kind.SAFE:
        found.append(f"REFUSED: {call.attempt} was answered {call.status}, and has run")
    if call.status == 200:
        if call.answer_attempt != call.attempt:
            found.append(f"MIXED: {call.attempt} got an answer of {call.answer_attempt!r}")
        if call.kind is not Kind.KEYED and (call.seal, call.body) not in {(run.seal, run.body) for run in runs}:
            found.append(f"MIXED: {call.attempt} got an answer that no run of it gave")
    if call.status in OWN_REFUSALS:
        found.append(f"DENIED: {call.attempt} was answered {call.status}, though it is proper")
    return found


def _answers_that_differ(history: History) -> list[str]:
    """Each success of a keyed operation is that of its run."""
    by_key: dict[str, set[tuple[str, str]]] = defaultdict(set)
    for run in history.runs:
        by_key[run.key].add((run.seal, run.body))
    return [
        f"MIXED: key {call.key} got an answer that no run of it gave"
        for call in history.calls
        if call.kind is Kind.KEYED and call.status == 200 and (call.seal, call.body) not in by_key[call.key]
    ]


def _lost_at_a_planned_end(history: History, runs: dict[str, list[Run]]) -> list[str]:
    """A gateway that was told to end answers all that it has passed on."""
    harmed = {
        (event.process, event.incarnation): event.at
        for event in history.events
        if event.act in (Act.KILL, Act.FREEZE, Act.OWN_END)
    }
    return [
        f"LOST: {call.attempt} was passed on by {call.gateway}, and its connection closed without an answer"
        for call in history.calls
        if call.status == CUT
        and runs[call.attempt]
        and not any(run.broke_off for run in runs[call.attempt])
        and harmed.get((call.gateway, call.incarnation), float("inf")) > call.ended_at
    ]


def _own_ends(history: History) -> list[str]:
    return [
        f"FAULT: {event.process} ended by itself ({event.detail})"
        for event in history.events
        if event.act is Act.OWN_END
    ]


def _configuration(history: History) -> list[str]:
    found = []
    acknowledged = [change for change in history.changes if change.outcome == 200]
    parents = Counter(change.parent for change in acknowledged)
    found += [
        f"CONFIG: {count} changes on version {parent} were taken" for parent, count in parents.items() if count > 1
    ]
    newest = max((change.version for change in acknowledged), default=0)
    allowed = {newest} | {
        change.version for change in history.changes if change.outcome == 0 and change.version > newest
    }
    if history.final_version not in allowed:
        found.append(f"CONFIG: version {history.final_version} was read back, and {newest} was acknowledged")
    return found


def _calm(history: History) -> list[str]:
    calls = [call for call in history.calls if call.sent_at >= history.calm_since + CALM_AFTER_S]
    served = sum(call.status == 200 for call in calls)
    if calls and served < SERVED_AT_LEAST * len(calls):
        statuses = Counter(call.status for call in calls)
        return [f"RECOVER: {served} of {len(calls)} calls were served in the calm at the end: {dict(statuses)}"]
    return []
