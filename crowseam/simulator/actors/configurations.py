"""Configurations sent by the operator, and what each of them allows."""

from __future__ import annotations

from typing import Any

import msgspec

Items = dict[tuple[str, str], dict[str, Any]]  # of a configuration, by (type, name)


class SentConfiguration(msgspec.Struct):
    """A configuration that was sent: its content, and when it was sent and acknowledged."""

    ver: int
    parent: int
    routes: dict[str, frozenset[str]]
    keys: dict[str, str]
    rates: dict[str, tuple[float, float]]
    body: bytes
    sent_at: float
    acked_at: float | None = None
    refused: int = 0

    def differs_from(self, body: bytes) -> bool:
        """Whether the configuration in `body` differs from the one sent with this version."""
        items = {
            (item_json["type"], item_json["meta"].get("name", "")): item_json
            for item_json in msgspec.json.decode(body)["objs"]
        }
        return permissions(items) != (self.routes, self.keys, self.rates)


def permissions(items: Items) -> tuple[dict, dict, dict]:
    """Return what a configuration allows: services by route, tenants by API key, and (rate, burst) by tenant."""
    routes, keys, rates = {}, {}, {}
    for (kind, name), item in items.items():
        spec = item["spec"]
        if kind == "routes":
            split = spec.get("split")
            routes[name] = frozenset(s["svc"] for s in split or [spec | {"wt": 1}] if s["wt"] > 0)
        elif kind == "tenants":
            keys.update(dict.fromkeys(spec["apikeys"], name))
            rates[name] = (spec.get("rate_per_s") or 0.0, spec.get("burst") or 0.0)
    return routes, keys, rates
