"""The budget of further tries: how many requests a gateway may send to a second server.

The rule binds all machines together: in any window a service may receive `ratio` x the requests for it +
`slack` further arrivals. Each gateway keeps to a part of it by itself, so nothing has to be asked: `ratio`
counts for the requests it sent on itself, and the slack is cut evenly. Only PART of either is used; the
rest is left to gateways that restart, to counts of gateways that differ, and to windows that are laid otherwise
than ours.

All times are seconds of a steady clock.
"""

from collections import deque

PART = 0.7
BUCKETS = 40  # buckets in a window: how finely it slides


class Window:
    """A sum over the last `length` buckets, the present one included."""

    __slots__ = ("_buckets", "_length", "total")

    def __init__(self, length: int) -> None:
        self._length = length
        self._buckets: deque[list[int]] = deque()  # [number of the bucket, count]
        self.total = 0

    def add(self, bucket: int) -> None:
        """Counts one in the bucket, which is not before any counted earlier."""
        buckets = self._buckets
        if buckets and buckets[-1][0] >= bucket:
            buckets[-1][1] += 1
        else:
            buckets.append([bucket, 1])
        self.total += 1

    def sum(self, bucket: int) -> int:
        """The sum over the buckets of the window that ends with `bucket`."""
        buckets, oldest = self._buckets, bucket - self._length
        while buckets and buckets[0][0] <= oldest:
            self.total -= buckets.popleft()[1]
        return self.total


class Most:
    """The highest number told in the last `span` seconds; the last one told, if none was in them."""

    __slots__ = ("_span", "_told")

    def __init__(self, span: float) -> None:
        self._span = span
        self._told: deque[tuple[float, int]] = deque()  # (until, number), falling in numbers

    def tell(self, number: int, now: float) -> None:
        told = self._told
        while told and told[-1][1] <= number:
            told.pop()
        told.append((now + self._span, number))

    def get(self, now: float, unknown: int) -> int:
        """`unknown`: what to say if none was ever told."""
        told = self._told
        while len(told) > 1 and told[0][0] <= now:
            told.popleft()  # the last number told stays, however long ago: there is no better one
        return told[0][1] if told else unknown


class RetryBudget:
    """What one gateway may send beyond the first of each request, by service.

    `ratio`, `window` (seconds) and `slack` are the rule's figures. `cautious` is the number of gateways
    reckoned with until one is told. With `earlier`, a process of this machine may have run just before and
    spent its part of the slack; that part then comes back only after a window.
    """

    def __init__(
        self, ratio: float, window: float, slack: float, now: float, cautious: int = 96, earlier: bool = True
    ) -> None:
        self._ratio = ratio * PART
        self._slack = slack * PART
        self._width = window / BUCKETS
        self._cautious = max(1, cautious)
        self._slack_from = now + window + self._width if earlier else now
        self._gateways = Most(6 * window)
        self._firsts: dict[str, Window] = {}
        self._spent: dict[str, Window] = {}
        self.retried: dict[str, int] = {}  # tries spent since the start, for the figures

    def gateways(self, count: int, now: float) -> None:
        """Tells how many gateways there are; the highest number of the last six windows counts."""
        self._gateways.tell(max(1, count), now)

    def first(self, service: str, now: float) -> None:
        """A request was sent to its first server."""
        window = self._firsts.get(service)
        if window is None:
            window = self._firsts[service] = Window(BUCKETS - 1)  # the last whole buckets: never too many
        window.add(int(now / self._width))

    def may_retry(self, service: str, now: float) -> bool:
        """Whether a request may be sent to one more server now."""
        bucket = int(now / self._width)
        firsts, spent = self._firsts.get(service), self._spent.get(service)
        allowed = self._ratio * firsts.sum(bucket) if firsts is not None else 0.0
        if now >= self._slack_from:
            allowed += self._slack / self._count(now)
        return (spent.sum(bucket) if spent is not None else 0) + 1 <= allowed + 1e-9

    def spend(self, service: str, now: float) -> bool:
        """Takes one further try from the budget, if there is one; False = it must not be sent."""
        if not self.may_retry(service, now):
            return False
        window = self._spent.get(service)
        if window is None:
            window = self._spent[service] = Window(BUCKETS + 1)  # the started bucket on top: never too few
        window.add(int(now / self._width))
        self.retried[service] = self.retried.get(service, 0) + 1
        return True

    def _count(self, now: float) -> int:
        return self._gateways.get(now, self._cautious)
