"""Counts of requests by route and tenant, logged periodically and read by replays."""

ASKED_EVENT = "asked"
REPORT_INTERVAL_S = 5.0


class RequestCounters:
    """Counts requests for the log line that a gateway writes each REPORT_INTERVAL_S."""

    def __init__(self) -> None:
        """Start with empty counts."""
        self.counts: dict[tuple[str, str], int] = {}

    def add(self, route: str, tenant: str) -> None:
        """Count one request of this route and tenant."""
        key = (route, tenant)
        self.counts[key] = self.counts.get(key, 0) + 1

    def take(self) -> str:
        """Return the counts in the format of the log, and reset them; empty if there were no requests."""
        counts = ",".join(f"{route}/{tenant}:{count}" for (route, tenant), count in sorted(self.counts.items()))
        self.counts.clear()
        return counts
