"""Links to the other controllers: discovery, reachability, and sending to one or all of them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from crowseam import clock, logs
from crowseam import settings as settings_file
from crowseam.consensus.node import Node
from crowseam.membership.failure_detector import FailureDetector
from crowseam.membership.sessions import SessionTable, SessionUpdate
from crowseam.quorum import majority
from crowseam.quotas.lease_messages import LeaseReport
from crowseam.transport.links import Dialer, Link, frame
from crowseam.transport.messages import ForwardedLeaseReport, Message, PeerGreeting, PeerHeartbeat
from crowseam.transport.protocol_check import ProtocolCheck

HEARTBEAT_INTERVAL_S = 0.25
RECENTLY_HEARD_S = 2.0  # a controller heard within this time is named to others
FORGET_AFTER_S = 30.0  # without a message, for a controller that is neither a voter nor a seed
# A request for all sessions of a controller is sent as a lease report with this key.
SESSIONS_KEY = "sessions"
_NO_LEASE = LeaseReport(0, 0.0, 0, 0, 0.0, {})
_ROUNDING_S = 1e-6


class Peers:
    """The other controllers, by address, with a persistent link to each.

    `on_link_message(link, message)` handles messages received on these links, `on_own_message(addr, message)` those
    that this controller sends to itself. `make_digest_offer(now)` returns the registry digests that are sent when a
    link is up. Times are seconds of the monotonic clock.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        me: str,
        incarnation: str,
        port: int,
        node: Node,
        session_table: SessionTable,
        make_digest_offer: Callable[[float], Message],
        on_link_message: Callable[[Link, Message], None],
        on_own_message: Callable[[str, Message], None],
    ) -> None:
        self.loop = loop
        self.me = me
        self.incarnation = incarnation
        self.port = port
        self.node = node
        self.session_table = session_table
        self.make_digest_offer = make_digest_offer
        self.on_link_message = on_link_message
        self.on_own_message = on_own_message
        self.detector = FailureDetector(HEARTBEAT_INTERVAL_S)
        self.dialers: dict[str, Dialer] = {}
        self.protocol_check = ProtocolCheck()
        self._last_heard_at: dict[str, float] = {}
        self._incarnations: dict[str, str] = {}
        self._pending_echoes: dict[str, float] = {}  # timestamp of the last heartbeat from each, to be echoed
        self._sent_counters: dict[str, int] = {}  # the counter of our session table that each was last sent
        self._last_slots: dict[str, int] = {}  # the last slot that each reported
        self._started_at = clock.monotonic()

    # Discovery

    def add(self, addr: str) -> None:
        """Keep a link to this controller from now on. An invalid address is ignored."""
        if addr == self.me or addr in self.dialers:
            return
        try:
            host, _ = settings_file.parse_address(addr)
        except settings_file.SettingsError:
            return
        self.dialers[addr] = Dialer(
            self.loop, host, self.port, self.on_link_message, lambda link: self._on_link_up(addr, link)
        )
        now = clock.monotonic()
        self._last_heard_at.setdefault(addr, now)
        self.detector.watch(addr, now)

    def _on_link_up(self, addr: str, link: Link) -> None:
        link.peer = addr
        link.send(self._greeting())
        self._sent_counters.pop(addr, None)
        now = clock.monotonic()
        # Roles need proof that both directions work, which is an answer. Request one now, before the next is due.
        self._send_heartbeat(addr, now, self.recently_heard(now), wants_reply=True)
        # Either side may have missed changes: compare registries now, not only at the next periodic repair.
        link.send(self.make_digest_offer(now))

    def _greeting(self) -> PeerGreeting:
        return PeerGreeting(self.me, self.incarnation, self.protocol_check.ours)

    def on_greeting(self, link: Link, greeting: PeerGreeting) -> None:
        """Handle the first message on a link that another controller opened."""
        addr = greeting.addr
        if not self.protocol_check.matches(addr, greeting.protocol):
            link.send(self._greeting())
            link.close_when_flushed()
            self._reject(addr)
            return
        link.peer = addr
        if self._incarnations.get(addr) != greeting.incarnation:
            self._incarnations[addr] = greeting.incarnation
            self._pending_echoes.pop(addr, None)  # it belongs to an earlier incarnation
            logs.emit("controller_discovered", addr=addr)
        self.add(addr)
        dialer = self.dialers.get(addr)
        if dialer is not None:
            dialer.on_version_match()
            dialer.retry_now()
        self._record_contact(addr, clock.monotonic())

    def on_returned_greeting(self, addr: str, greeting: PeerGreeting, _: float) -> None:
        """Handle the greeting by which a controller rejects ours: it has another protocol version."""
        if not self.protocol_check.matches(addr, greeting.protocol):
            self._reject(addr)

    def _reject(self, addr: str) -> None:
        dialer = self.dialers.get(addr)
        if dialer is not None:
            dialer.on_version_mismatch()

    def on_heartbeat(self, addr: str, heartbeat: PeerHeartbeat, now: float) -> None:
        """Handle a heartbeat, and the controllers that its sender knows."""
        self._pending_echoes[addr] = heartbeat.sent_at
        self._last_slots[addr] = heartbeat.last_slot
        # An echo of a heartbeat from our previous process does not prove contact with this one.
        is_answer = self._started_at <= heartbeat.echo <= now
        self.detector.record_heartbeat(addr, now, now - heartbeat.echo if is_answer else None)
        self._record_contact(addr, now)
        for other in heartbeat.controllers:
            self.add(other)
        if heartbeat.wants_reply:
            self._send_heartbeat(addr, now, [])

    def recently_heard(self, now: float) -> list[str]:
        """Return the controllers that were heard from recently."""
        return [
            addr
            for addr, heard_at in self._last_heard_at.items()
            if now - heard_at < RECENTLY_HEARD_S and addr in self._incarnations
        ]

    def voters(self) -> list[str]:
        """Return the addresses of the voters, which may include this controller."""
        return [voter.addr for voter in self.node.voters]

    def voter_ids(self) -> dict[str, str]:
        """Return the ids of the voters, by address."""
        return {voter.addr: voter.id for voter in self.node.voters}

    # Reachability

    def reachable(self, now: float, among: Iterable[str] | None = None) -> set[str]:
        """Return the controllers reachable in both directions, of all known ones or of those in `among`."""
        return self.detector.reachable(now, self.dialers if among is None else among)

    def is_majority_reachable(self, now: float) -> bool:
        """Whether a majority of the voters, including this one, has answered in the last `REACHABILITY_WINDOW_S`."""
        return self.detector.is_majority_reachable(now, self.voters(), self.me)

    def has_majority_answered_since(self, since: float, now: float) -> bool:
        """Whether a majority of the voters has answered messages sent after `since`."""
        # The detector subtracts round trip times, with rounding errors.
        return self.detector.majority_answered_at(now, self.voters(), self.me) > since - _ROUNDING_S

    def is_current(self, now: float) -> bool:
        """Whether a majority is reachable, and no reachable controller knows a newer slot."""
        reachable = self.reachable(now)
        last_slot = self.node.last_slot
        return self.is_majority_reachable(now) and all(self._last_slots.get(addr, 0) <= last_slot for addr in reachable)

    def age_s(self, now: float) -> float:
        """Return the seconds since a majority of the voters was last known to be reachable, or since the start."""
        return now - max(self._started_at, self.detector.majority_answered_at(now, self.voters(), self.me))

    def is_majority(self, addrs: Iterable[str]) -> bool:
        """Whether these controllers and this one are a majority of the voters."""
        voters = set(self.voters())
        return len(voters.intersection((*addrs, self.me))) >= majority(len(voters))

    def age_header(self, now: float) -> tuple[tuple[str, str], ...]:
        """Return the Age header (RFC 9111, 5.1) of an answer from local state, in whole seconds."""
        return (("Age", str(int(self.age_s(now)))),)

    def forget_silent(self, now: float, needed: Iterable[str]) -> None:
        """Close links to controllers that were silent for `FORGET_AFTER_S`, unless they are `needed`."""
        for addr, heard_at in list(self._last_heard_at.items()):
            if now - heard_at > FORGET_AFTER_S and addr not in needed:
                del self._last_heard_at[addr]
                self.detector.forget(addr)
                self._last_slots.pop(addr, None)
                dialer = self.dialers.pop(addr, None)
                if dialer is not None:
                    dialer.close()

    def close(self) -> None:
        """Close all links that this controller opened."""
        for dialer in self.dialers.values():
            dialer.close()

    def _record_contact(self, addr: str, now: float) -> None:
        self._last_heard_at[addr] = now
        self.node.record_contact(addr, now)
        self.session_table.record_contact(addr, self._incarnations.get(addr, ""), now)

    # Sending

    def post(self, addr: str, message: Message) -> None:
        """Send a message, which is lost if there is no link. A message to ourselves is handled later in the loop."""
        if addr == self.me:
            self.loop.call_soon(self.on_own_message, addr, message)
        elif (dialer := self.dialers.get(addr)) is not None:
            dialer.send(message)
        else:
            self.add(addr)

    def post_all(self, outgoing: Iterable[tuple[str, Message]]) -> None:
        """Send each message to its address."""
        for addr, message in outgoing:
            self.post(addr, message)

    def broadcast(self, message: Message) -> None:
        """Send a message to all controllers with an open link."""
        data = frame(message)
        for dialer in self.dialers.values():
            if dialer.link is not None:
                dialer.link.write(data)

    def send_heartbeats(self, now: float) -> None:
        """Send a heartbeat to each controller; to be called every `HEARTBEAT_INTERVAL_S`."""
        self.detector.tick(now)
        controllers = self.recently_heard(now)
        for addr in list(self.dialers):
            self._send_heartbeat(addr, now, controllers)

    def probe_voters(self, now: float) -> None:
        """Request an immediate answer from each voter, for `has_majority_answered_since`."""
        for addr in self.voters():
            self._send_heartbeat(addr, now, [], wants_reply=True)

    def _send_heartbeat(self, addr: str, now: float, controllers: list[str], wants_reply: bool = False) -> None:
        # Without a link, the echo is kept until there is one.
        dialer = self.dialers.get(addr)
        if dialer is not None and dialer.link is not None:
            echo = self._pending_echoes.pop(addr, 0.0)
            dialer.send(PeerHeartbeat(now, echo, self.node.last_slot, controllers, wants_reply))

    # The sessions of gateways

    def send_session_updates(self, now: float) -> None:
        """Send each controller the changes of our sessions since the last update."""
        for addr, dialer in self.dialers.items():
            if dialer.link is not None:
                # Receivers do not acknowledge updates; one that missed some requests all sessions.
                dialer.send(self.session_table.update_since(self._sent_counters.get(addr, 0), now))
                self._sent_counters[addr] = self.session_table.counter

    def on_session_update(self, addr: str, update: SessionUpdate, now: float) -> None:
        """Apply a controller's update of its sessions; if an earlier one is missing, request all sessions."""
        if not self.session_table.apply_update(update, now):
            self.post(addr, ForwardedLeaseReport("", SESSIONS_KEY, {}, _NO_LEASE))

    def send_all_sessions(self, addr: str, now: float) -> None:
        """Send all our sessions to a controller."""
        self.post(addr, self.session_table.update_since(0, now))
