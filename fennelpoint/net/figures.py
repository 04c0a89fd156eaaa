"""What the ingress reports of itself: plain counts, added to where a thing ends, as Prometheus text."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class Figures:
    """The counts of each request class since the process began."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.names = list(classes)
        self.answered = [0] * len(self.names)  # requests served
        self.deferred = [0] * len(self.names)  # requests refused
        self.errored = [0] * len(self.names)  # requests failed
        self.sends = [0] * len(self.names)  # attempts written whole to a backend

    def render(self, current: int, size: int, unhealthy: int) -> bytes:
        """All figures; the three that are not counts are told by those who know them."""
        lines: list[str] = []
        for name, help_text, counts in (
            ("app_answered", "Requests served.", self.answered),
            ("app_deferred", "Requests refused.", self.deferred),
            ("app_errored", "Requests failed.", self.errored),
            ("app_sends", "Attempts written whole to menu servers.", self.sends),
        ):
            lines += _family(
                name,
                help_text,
                "counter",
                [(f'{{group="{escape(group)}"}}', n) for group, n in zip(self.names, counts, strict=True)],
            )
        for name, help_text, value in (
            ("app_current", "Requests taken and not yet ended.", current),
            ("app_cluster_size", "Menu servers in the list.", size),
            ("app_cluster_unhealthy", "Listed menu servers that get nothing new at present.", unhealthy),
        ):
            lines += _family(name, help_text, "gauge", [("", value)])
        return "\n".join([*lines, ""]).encode()


def _family(name: str, help_text: str, kind: str, samples: Sequence[tuple[str, int]]) -> list[str]:
    return [
        f"# HELP {name} {help_text}",
        f"# TYPE {name} {kind}",
        *(f"{name}{labels} {value}" for labels, value in samples),
    ]


def escape(value: str) -> str:
    """A label's value as the text format wants it."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
