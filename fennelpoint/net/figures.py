"""Request counters and gauges of the ingress in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class RequestMetrics:
    """Request counters since the start of the process, by request class."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.class_names = list(classes)
        self.answered = [0] * len(self.class_names)  # requests answered with a backend's success
        self.deferred = [0] * len(self.class_names)  # requests refused
        self.errored = [0] * len(self.class_names)  # requests failed
        self.sends = [0] * len(self.class_names)  # attempts completely written to a backend

    def render(self, open_requests: int, cluster_size: int, unhealthy_servers: int) -> bytes:
        """Render the counters and the given gauges."""
        lines: list[str] = []
        for name, help_text, counts in (
            ("app_answered", "Requests served.", self.answered),
            ("app_deferred", "Requests refused.", self.deferred),
            ("app_errored", "Requests failed.", self.errored),
            ("app_sends", "Attempts written whole to menu servers.", self.sends),
        ):
            lines += _render_family(
                name,
                help_text,
                "counter",
                [
                    (f'{{group="{escape_label_value(group)}"}}', count)
                    for group, count in zip(self.class_names, counts, strict=True)
                ],
            )
        for name, help_text, value in (
            ("app_current", "Requests taken and not yet ended.", open_requests),
            ("app_cluster_size", "Menu servers in the list.", cluster_size),
            (
                "app_cluster_unhealthy",
                "Listed menu servers that get nothing new at present.",
                unhealthy_servers,
            ),
        ):
            lines += _render_family(name, help_text, "gauge", [("", value)])
        return "\n".join([*lines, ""]).encode()


def _render_family(name: str, help_text: str, kind: str, samples: Sequence[tuple[str, int]]) -> list[str]:
    return [
        f"# HELP {name} {help_text}",
        f"# TYPE {name} {kind}",
        *(f"{name}{labels} {value}" for labels, value in samples),
    ]


def escape_label_value(value: str) -> str:
    """Escape a label value for the Prometheus text format."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
