"""Links to the other controllers: who they are, who is reachable, and what goes to one or to all of them."""

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
RECENTLY_HEARD_S = 2.0  # since it was last heard, for which a controller is named to others
FORGET_AFTER_S = 30.0  # of silence, after which a controller that neither votes nor is a seed is forgotten
# A request for all sessions of a controller has the form of a lease report under this key.
SESSIONS_KEY = "sessions"
_NO_LEASE = LeaseReport(0, 0.0, 0, 0, 0.0, {})
_ROUNDING_S = 1e-6


class Peers:
    """The other controllers, by address, with a link that is kept up to each.

    `heard(link, message)` gets what comes on these links, `handle(addr, message)` what this controller sends to
    itself; `offer(now)` makes the digests of the registry that a controller is sent once a link to it is up.
    Times are seconds of the steady clock.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        me: str,
        incarnation: str,
        port: int,
        node: Node,
        session_table: SessionTable,
        offer: Callable[[float], Message],
        heard: Callable[[Link, Message], None],
        handle: Callable[[str, Message], None],
    ) -> None:
        self.loop = loop
        self.me = me
        self.incarnation = incarnation
        self.port = port
        self.node = node
        self.session_table = session_table
        self.offer = offer
        self.heard = heard
        self.handle = handle
        self.detector = FailureDetector(HEARTBEAT_INTERVAL_S)
        self.dialers: dict[str, Dialer] = {}
        self.protocol_check = ProtocolCheck()
        self._heard_at: dict[str, float] = {}
        self._incarnations: dict[str, str] = {}
        self._echoes: dict[str, float] = {}  # when the newest heartbeat of each was sent, by its clock
        self._sent_counters: dict[str, int] = {}  # counter of our sessions up to which each was told
        self._last_slots: dict[str, int] = {}  # the newest slot that each knew when it was last heard
        self._started_at = clock.monotonic()

    # Who there is

    def add(self, addr: str) -> None:
        """Keep a link to this controller from now on; what is no address is passed over."""
        if addr == self.me or addr in self.dialers:
            return
        try:
            host, _ = settings_file.address(addr)
        except settings_file.SettingsError:
            return
        self.dialers[addr] = Dialer(self.loop, host, self.port, self.heard, lambda link: self._on_link_up(addr, link))
        now = clock.monotonic()
        self._heard_at.setdefault(addr, now)
        self.detector.watch(addr, now)

    def _on_link_up(self, addr: str, link: Link) -> None:
        link.peer = addr
        link.send(self._greeting())
        self._sent_counters.pop(addr, None)
        now = clock.monotonic()
        # Only an answer shows that both ways are open, and roles wait for that: not until its next one is due.
        self._send_heartbeat(addr, now, self.recently_heard(now), wants_reply=True)
        # Either of us may have been away: what was missed is not to wait for its turn.
        link.send(self.offer(now))

    def _greeting(self) -> PeerGreeting:
        return PeerGreeting(self.me, self.incarnation, self.protocol_check.ours)

    def on_greeting(self, link: Link, greeting: PeerGreeting) -> None:
        """Take the first message of a link that another controller has dialled."""
        addr = greeting.addr
        if not self.protocol_check.matches(addr, greeting.protocol):
            link.send(self._greeting())
            link.close_when_flushed()
            self._reject(addr)
            return
        link.peer = addr
        if self._incarnations.get(addr) != greeting.incarnation:
            self._incarnations[addr] = greeting.incarnation
            self._echoes.pop(addr, None)  # it was no message of this incarnation
            logs.say("controller_discovered", addr=addr)
        self.add(addr)
        dialer = self.dialers.get(addr)
        if dialer is not None:
            dialer.on_version_match()
            dialer.retry_now()
        self._note_alive(addr, clock.monotonic())

    def on_returned_greeting(self, addr: str, greeting: PeerGreeting, _: float) -> None:
        """Note that a controller that was dialled speaks another version of the protocol: it greets in its turn."""
        if not self.protocol_check.matches(addr, greeting.protocol):
            self._reject(addr)

    def _reject(self, addr: str) -> None:
        dialer = self.dialers.get(addr)
        if dialer is not None:
            dialer.on_version_mismatch()

    def on_heartbeat(self, addr: str, heartbeat: PeerHeartbeat, now: float) -> None:
        """Take a sign of life, and whom its sender knows."""
        self._echoes[addr] = heartbeat.sent_at
        self._last_slots[addr] = heartbeat.last_slot
        # What an earlier process of ours sent is no proof of a contact with this one.
        is_answer = self._started_at <= heartbeat.echo <= now
        self.detector.record_heartbeat(addr, now, now - heartbeat.echo if is_answer else None)
        self._note_alive(addr, now)
        for other in heartbeat.controllers:
            self.add(other)
        if heartbeat.wants_reply:
            self._send_heartbeat(addr, now, [])

    def recently_heard(self, now: float) -> list[str]:
        """Return the controllers that were heard lately."""
        return [
            addr
            for addr, heard_at in self._heard_at.items()
            if now - heard_at < RECENTLY_HEARD_S and addr in self._incarnations
        ]

    def voters(self) -> list[str]:
        """Return the addresses of those that vote, this controller's among them if it does."""
        return [voter.addr for voter in self.node.voters]

    def voter_ids(self) -> dict[str, str]:
        """Return the ids of those that vote, by address."""
        return {voter.addr: voter.id for voter in self.node.voters}

    # Who is reachable

    def reachable(self, now: float, among: Iterable[str] | None = None) -> set[str]:
        """Return those with which both ways are open; of all that are known, or `among` these."""
        return self.detector.reachable(now, self.dialers if among is None else among)

    def is_in_touch(self, now: float) -> bool:
        """Whether a majority of the voters, itself included, has answered in the last `REACHABILITY_WINDOW_S`."""
        return self.detector.is_majority_reachable(now, self.voters(), self.me)

    def was_in_touch_since(self, since: float, now: float) -> bool:
        """Whether a majority of the voters has answered what was sent after `since`."""
        # The detector subtracts round trips, which rounds.
        return self.detector.majority_answered_at(now, self.voters(), self.me) > since - _ROUNDING_S

    def is_current(self, now: float) -> bool:
        """Whether this controller is in touch, and none of those reachable knows a newer slot."""
        reachable = self.reachable(now)
        last_slot = self.node.last_slot
        return self.is_in_touch(now) and all(self._last_slots.get(addr, 0) <= last_slot for addr in reachable)

    def age_s(self, now: float) -> float:
        """Return the seconds since a majority of the voters was last in touch for certain, or since the start."""
        return now - max(self._started_at, self.detector.majority_answered_at(now, self.voters(), self.me))

    def is_majority(self, addrs: Iterable[str]) -> bool:
        """Whether these and this controller are a majority of the voters."""
        voters = set(self.voters())
        return len(voters.intersection((*addrs, self.me))) >= majority(len(voters))

    def age_header(self, now: float) -> tuple[tuple[str, str], ...]:
        """Return the header of an answer that tells what is known here: its Age (RFC 9111, 5.1) in whole s."""
        return (("Age", str(int(self.age_s(now)))),)

    def forget_silent(self, now: float, needed: Iterable[str]) -> None:
        """Give up links to those that have long been silent, unless they are `needed`."""
        for addr, heard_at in list(self._heard_at.items()):
            if now - heard_at > FORGET_AFTER_S and addr not in needed:
                del self._heard_at[addr]
                self.detector.forget(addr)
                self._last_slots.pop(addr, None)
                dialer = self.dialers.pop(addr, None)
                if dialer is not None:
                    dialer.close()

    def close(self) -> None:
        """End all links that were dialled."""
        for dialer in self.dialers.values():
            dialer.close()

    def _note_alive(self, addr: str, now: float) -> None:
        self._heard_at[addr] = now
        self.node.record_contact(addr, now)
        self.session_table.record_contact(addr, self._incarnations.get(addr, ""), now)

    # Sending

    def post(self, addr: str, message: Message) -> None:
        """Send; it is lost where there is no link. To ourselves it comes in a later turn of the loop."""
        if addr == self.me:
            self.loop.call_soon(self.handle, addr, message)
        elif (dialer := self.dialers.get(addr)) is not None:
            dialer.send(message)
        else:
            self.add(addr)

    def post_all(self, outgoing: Iterable[tuple[str, Message]]) -> None:
        """Send each of these (address, message)."""
        for addr, message in outgoing:
            self.post(addr, message)

    def broadcast(self, message: Message) -> None:
        """Send to all to whom there is a link."""
        data = frame(message)
        for dialer in self.dialers.values():
            if dialer.link is not None:
                dialer.link.write(data)

    def send_heartbeats(self, now: float) -> None:
        """Send each a sign of life; to be called each `HEARTBEAT_INTERVAL_S`."""
        self.detector.tick(now)
        controllers = self.recently_heard(now)
        for addr in list(self.dialers):
            self._send_heartbeat(addr, now, controllers)

    def probe_voters(self, now: float) -> None:
        """Have the voters show at once whether they can be reached: see `was_in_touch_since`."""
        for addr in self.voters():
            self._send_heartbeat(addr, now, [], wants_reply=True)

    def _send_heartbeat(self, addr: str, now: float, controllers: list[str], wants_reply: bool = False) -> None:
        # What was heard of a peer is kept to be answered until there is a link to it.
        dialer = self.dialers.get(addr)
        if dialer is not None and dialer.link is not None:
            echo = self._echoes.pop(addr, 0.0)
            dialer.send(PeerHeartbeat(now, echo, self.node.last_slot, controllers, wants_reply))

    # Which gateways have a session with whom

    def send_session_updates(self, now: float) -> None:
        """Send each what changed in our sessions since it was last told."""
        for addr, dialer in self.dialers.items():
            if dialer.link is not None:
                # They do not say what they have of us: it gets the last changes, or everything once it asks.
                dialer.send(self.session_table.update_since(self._sent_counters.get(addr, 0), now))
                self._sent_counters[addr] = self.session_table.counter

    def on_session_update(self, addr: str, update: SessionUpdate, now: float) -> None:
        """Take a controller's sessions; where some of it is missing, ask for all."""
        if not self.session_table.apply_update(update, now):
            self.post(addr, ForwardedLeaseReport("", SESSIONS_KEY, {}, _NO_LEASE))

    def send_all_sessions(self, addr: str, now: float) -> None:
        """Send a controller all our sessions."""
        self.post(addr, self.session_table.update_since(0, now))
