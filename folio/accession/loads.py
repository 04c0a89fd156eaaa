"""How many requests the whole fleet has under way at each server, summed from what each ingress tells.

A desk tells its registry its own counts as they change; a registry sums those of its desks and tells the sums
to the other registries; each desk gets the totals.  Counts replace one another, so one that is lost or said
twice does no lasting harm, and whoever goes takes its counts along.
"""

from collections.abc import Iterable, Mapping


class Loads:
    """Counts by source and server, and their sums. A source is a desk or another registry."""

    def __init__(self) -> None:
        self._of: dict[str, dict[str, int]] = {}
        self.total: dict[str, int] = {}
        self._changed: set[str] = set()

    def tell(self, source: str, counts: Mapping[str, int], whole: bool = False) -> None:
        """Take a source's counts: those that changed, or with ``whole`` all that are not 0."""
        held = self._of.setdefault(source, {})
        if whole:
            for server in held.keys() - counts.keys():
                self._set(held, server, 0)
        for server, count in counts.items():
            self._set(held, server, max(0, count))

    def drop(self, source: str) -> None:
        """The source is gone, and what it had under way counts no more."""
        held = self._of.pop(source, {})
        for server in list(held):
            self._set(held, server, 0)

    def keep(self, sources: Iterable[str]) -> None:
        """Drop all sources but these."""
        for source in self._of.keys() - set(sources):
            self.drop(source)

    def changes(self) -> dict[str, int]:
        """The totals that changed since this was last asked."""
        changed = {server: self.total.get(server, 0) for server in self._changed}
        self._changed.clear()
        return changed

    def _set(self, held: dict[str, int], server: str, count: int) -> None:
        before = held.get(server, 0)
        if count == before:
            return
        if count:
            held[server] = count
        else:
            held.pop(server, None)
        total = self.total.get(server, 0) + count - before
        if total:
            self.total[server] = total
        else:
            self.total.pop(server, None)
        self._changed.add(server)
