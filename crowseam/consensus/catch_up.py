"""Catch-up: requests missing log entries from other nodes, and serves such requests."""

from __future__ import annotations

from crowseam.consensus.context import NodeContext
from crowseam.consensus.effects import Effect, Send
from crowseam.consensus.messages import CatchUpRequest, ChosenEntries, Snapshot, SnapshotOffer
from crowseam.consensus.replicated_log import ReplicatedLog
from crowseam.consensus.snapshot_exchange import SnapshotExchange

# Minimum intervals between catch-up requests to different nodes, and to the same node.
_NEXT_PEER_INTERVAL_S = 0.03
_SAME_PEER_INTERVAL_S = 0.1
_NOBODY_ASKED = ("", -1.0)


class CatchUp:
    """Sends catch-up requests and builds the replies to them.

    `bootstrap_addrs` are the addresses to ask while no voters are known.
    """

    def __init__(
        self, context: NodeContext, log: ReplicatedLog, exchange: SnapshotExchange, bootstrap_addrs: list[str]
    ) -> None:
        self._context = context
        self._log = log
        self._exchange = exchange
        self.bootstrap_addrs = bootstrap_addrs
        self._last_request = _NOBODY_ASKED  # address and time
        self.next_poll_at = 0.0
        self._next_bootstrap_request_at = 0.0

    # Requesting

    def request_from(self, addr: str) -> list[Effect]:
        """Ask `addr` for the missing part of the log.

        If that is large, only one node is asked at a time, because each reply takes long on a slow link.
        """
        context, log = self._context, self._log
        if addr == context.me.addr or self._exchange.download is not None:
            return []
        last_addr, last_at = self._last_request
        wait = _NEXT_PEER_INTERVAL_S if addr != last_addr else _SAME_PEER_INTERVAL_S
        if log.is_far_behind():
            wait = context.timing.chunk_timeout_s
        if context.now - last_at < wait:
            return []
        self._last_request = (addr, context.now)
        return [Send(addr, CatchUpRequest(log.last_slot + 1 if log.voters else 0, True))]

    def reply_received_from(self, addr: str) -> None:
        """Record that entries came from `addr`; if they were requested there, the next request may follow at once."""
        if addr == self._last_request[0]:
            self._last_request = _NOBODY_ASKED

    def snapshot_installed(self) -> None:
        """Allow the entries that follow on an installed snapshot to be requested at once."""
        self._last_request = _NOBODY_ASKED

    def poll(self) -> list[Effect]:
        """Ask other voters for new entries: all of them at startup, later as `poll_all_voters` says."""
        context, log = self._context, self._log
        if context.now < self.next_poll_at:
            return []
        others = [voter.addr for voter in log.voters if voter.addr != context.me.addr]
        is_start = self.next_poll_at == 0.0
        self.next_poll_at = context.now + context.timing.poll_interval_s * context.jitter()
        if not others:
            return []
        asks_all = is_start or (context.timing.poll_all_voters and context.me in log.voters)
        asked = others if asks_all else [context.rng.choice(others)]
        return [Send(addr, CatchUpRequest(log.last_slot + 1, True)) for addr in asked]

    def find_voters(self) -> list[Effect]:
        """Ask the bootstrap addresses for a snapshot while no voters are known."""
        context = self._context
        if context.now < self._next_bootstrap_request_at:
            return []
        # Ask less often during a download, which already has a source.
        timing = context.timing
        wait = timing.join_interval_s if self._exchange.download is None else timing.chunk_timeout_s
        self._next_bootstrap_request_at = context.now + wait * context.jitter()
        return [Send(addr, CatchUpRequest(0, True)) for addr in self.bootstrap_addrs if addr != context.me.addr]

    def next_due(self) -> float:
        """Return the time of the next `poll` or `find_voters` (s)."""
        return self.next_poll_at if self._log.voters else self._next_bootstrap_request_at

    # Replying

    def reply_from(self, slot: int, request: CatchUpRequest | None = None) -> ChosenEntries | Snapshot | SnapshotOffer:
        """Return the reply for a node that is missing the log from `slot` on: entries, a snapshot or an offer of one.

        Without a `request` the reply is small, because several voters may send one at the same time.
        """
        log, max_run_bytes = self._log, self._context.timing.max_run_bytes
        accepts_chunks = request is not None and request.accepts_chunks
        if slot >= log.first_slot and not log.is_longer_than_state(slot):
            run = log.run_from(
                slot,
                max_run_bytes if request is not None else max_run_bytes // 4,
                at_least_one=request is not None and not accepts_chunks,
            )
            if run:
                return ChosenEntries(slot, run, log.last_slot)
        if not log.is_state_large() or (request is not None and not accepts_chunks):
            return log.snapshot()
        return SnapshotOffer(log.last_slot) if accepts_chunks else ChosenEntries(slot, [], log.last_slot)

    def send_from(self, addr: str, slot: int) -> list[Effect]:
        """Send `addr` the log from `slot` on, without a request."""
        return [Send(addr, self.reply_from(slot))]


def carries_log(reply: ChosenEntries | Snapshot | SnapshotOffer) -> bool:
    """Whether a reply contains log entries or a snapshot, rather than only an offer or a slot number."""
    return isinstance(reply, Snapshot) or (isinstance(reply, ChosenEntries) and bool(reply.entries))
