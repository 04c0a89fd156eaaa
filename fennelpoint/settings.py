"""Parsing of settings: from the names on the wire to `interface.Settings`.

Both hosts use these tables: the adapter gets flat `path=value` lines, the ingress nested JSON. JSON is
flattened to the same paths first, so that both have the same names, checks and error messages.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from fennelpoint import interface as api

EFFECTS = {"pure": api.Effect.SAFE, "token": api.Effect.KEYED, "side_effect": api.Effect.UNSAFE}


class SettingsError(ValueError):
    """A setting is missing or invalid; the message names it."""


def _number(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float | str):
        raise ValueError(f"{value!r} is not a number")
    return float(value)


def _integer(value: object) -> int:
    number = _number(value)
    if number != number // 1:  # also true for nan and the infinities
        raise ValueError(f"{value!r} is not a whole number")
    return int(number)


def _boolean(value: object) -> bool:
    if isinstance(value, bool):
        return value
    if value not in ("true", "false"):
        raise ValueError(f"{value!r} is neither true nor false")
    return value == "true"


def _string(value: object) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not a text")
    return value


def _string_list(value: object) -> list[str]:
    if isinstance(value, list):
        return [_string(item) for item in value]
    return [item for item in _string(value).split(",") if item]


def _effect(value: object) -> api.Effect:
    if (name := _string(value)) not in EFFECTS:
        raise ValueError(f"unknown effect {name!r}")
    return EFFECTS[name]


# From the name of a field to the path of its setting and the conversion of its value.
Table = dict[str, tuple[str, Callable]]

REQUIRED: Table = {
    "ingress_index": ("me", _integer),
    "ingresses": ("balancers", _integer),
    "zone": ("zone", _integer),
    "max_attempts": ("bounds.max_attempts", _integer),
    "drain_grace": ("rules.drain_grace_s", _number),
    "cold_share": ("rules.cold_share", _number),
    "ramp_time": ("rules.ramp_time_s", _number),
    "tip_multiple": ("rules.tip_multiple", _number),
    "fall_span": ("rules.fall_s", _number),
    "answer_slack": ("rules.answer_slack_s", _number),
    "tick": ("tick_s", _number),
}
OPTIONAL: Table = {
    "report_fields": ("report.fields", _string_list),
    "report_via": ("report.via", _string),
    "discovery": ("discovery", _string),
    "poll_interval": ("rules.ask_every_s", _number),
    "weights": ("weights", _string),
    "zones": ("zones", _string_list),
    "kinds": ("shapes", _string_list),
    "has_counter": ("extra.has_counter", _boolean),
    "counter_timeout": ("extra.count_wait_s", _number),
    "counter_fee": ("extra.count_fee", _number),
    "meter_period": ("extra.metering_s", _number),
    "corrects_units": ("extra.trued_up", _boolean),
    "max_units": ("extra.units_top", _number),
    "may_probe": ("bounds.probes", _boolean),
    "may_message_peers": ("bounds.peer_messages", _boolean),
    "may_cancel": ("bounds.cancel", _boolean),
    "may_hedge": ("bounds.second_copies", _boolean),
    "may_set_retry_after": ("bounds.retry_after", _boolean),
    "max_retry_after": ("bounds.max_retry_after_s", _number),
    "connect_timeout": ("bounds.connect_timeout_s", _number),
    "idle_timeout": ("bounds.idle_close_s", _number),
}
CLASS_REQUIRED: Table = {
    "name": ("name", _string),
    "latency_target": ("aim_s", _number),
    "deadline": ("give_up_s", _number),
    "worth": ("worth", _number),
    "effect": ("repeat", _effect),
}
CLASS_OPTIONAL: Table = {
    "scope": ("group", api.DedupScope),
    "dedup_span": ("window_s", _number),
    "late_worth": ("late_worth", _number),
    "latency_target_stretch": ("aim_stretch", _number),
    "streamed": ("stream", _boolean),
}
PLAN_REQUIRED: Table = {"name": ("name", _string), "price": ("pays", _number)}
PLAN_OPTIONAL: Table = {
    "rate": ("quota_rate", _number),
    "burst": ("store_size", _number),
    "concurrency_limit": ("concurrency", _integer),
    "excess_worth": ("extra_worth", _number),
    "excess_cost": ("overrun_cost", _number),
    "ceiling_rate": ("ceiling_rate", _number),
    "ceiling_burst": ("cap_depth", _number),
    "ceiling_slack": ("cap_slack", _number),
}


def _fields(values: Mapping[str, object], prefix: str, required: Table, optional: Table) -> dict:
    result = {}
    for table, is_required in ((required, True), (optional, False)):
        for name, (path, convert) in table.items():
            value = values.get(prefix + path)
            if value is None:
                if is_required:
                    raise SettingsError(f"setting {prefix + path} is missing")
                continue
            try:
                result[name] = convert(value)
            except ValueError as error:
                raise SettingsError(f"setting {prefix + path}: {error}") from None
    return result


def _objects(
    values: Mapping[str, object], name: str, required: Table, optional: Table, make: Callable
) -> list:
    count = _fields(values, "", {"count": (f"{name}.count", _integer)}, {})["count"]
    return [make(**_fields(values, f"{name}.{i}.", required, optional)) for i in range(count)]


def from_paths(values: Mapping[str, object]) -> api.Settings:
    """Return the settings from `path: value` pairs; unknown paths are ignored."""
    return api.Settings(
        classes=_objects(values, "grades", CLASS_REQUIRED, CLASS_OPTIONAL, api.RequestClass),
        plans=_objects(values, "contracts", PLAN_REQUIRED, PLAN_OPTIONAL, api.Plan),
        **_fields(values, "", REQUIRED, OPTIONAL),
    )


def from_lines(text: str) -> api.Settings:
    """Return the settings from the text of the simulator's first message."""
    return from_paths(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))


def flatten(value: object, prefix: str = "") -> dict[str, object]:
    """Return nested JSON by the paths of the flat form; a list of objects has its length under `.count`."""
    if isinstance(value, list) and all(isinstance(item, dict) for item in value):
        value = {"count": len(value), **{str(i): item for i, item in enumerate(value)}} if value else value
    if not isinstance(value, dict):
        return {prefix: value}
    result: dict[str, object] = {}
    for name, item in value.items():
        result.update(flatten(item, f"{prefix}.{name}" if prefix else name))
    return result


def from_json(value: object) -> api.Settings:
    """Return the settings from the JSON value in an ingress's configuration."""
    if not isinstance(value, dict):
        raise SettingsError("settings is not an object")
    return from_paths(flatten(value))
