"""Membership: a gateway is a member while it has a valid session with a controller.

Each controller owns the sessions of the gateways connected to it and replicates them to the other controllers as a
state with a counter. Only the owner changes its sessions. When the owner falls silent they expire after a while,
unless the gateways have opened newer ones elsewhere before. Times are `now` in seconds of the local monotonic clock.
"""

from __future__ import annotations

import msgspec

SESSION_TIMEOUT_S = 2.5  # without a renewal, after which the owner ends a session
CONTROLLER_TIMEOUT_S = 2.0  # silence after which a controller's sessions start to expire
EXPIRY_GRACE_S = 6.0  # how long the sessions of a silent controller stay valid after that
RECENT_MEMBER_S = 3.0  # how long a gateway without a session is still counted, as most reconnect
MIN_FREEZE_S = 1.0  # a longer time between two ticks means that this process was suspended
MAX_ENDED_INCARNATIONS = 64  # of controllers, kept in memory
MAX_CLOSED_SESSIONS = 256  # listed in updates; an older copy is sent the full state
_MS_PER_S = 1000


class Session(msgspec.Struct, frozen=True, array_like=True):
    """The session of one gateway.

    `incarnation` identifies the gateway's process, `number` is the session's number within it, `az` the zone.
    `demand` is in requests per second by tenant; `age_ms` is the age of the session when it was sent.
    """

    gateway: str
    incarnation: str
    number: int = 0
    az: str = ""
    demand: dict[str, float] = {}
    age_ms: int = 0


class SessionUpdate(msgspec.Struct, frozen=True, array_like=True, tag="sessions"):
    """A controller's sessions: all of them (`base` 0), or the changes after counter `base`."""

    controller: str
    incarnation: str
    base: int
    counter: int
    gateways: list[Session]
    closed: list[str]


class _StoredSession:
    """A session, when it was opened and renewed (s), and the counter of its last change."""

    __slots__ = ("changed_at", "opened_at", "renewed_at", "session")

    def __init__(self, session: Session, opened_at: float, renewed_at: float, changed_at: int) -> None:
        self.session = session
        self.opened_at = opened_at
        self.renewed_at = renewed_at
        self.changed_at = changed_at

    def as_of(self, now: float) -> Session:
        """Return the session with its current age."""
        return msgspec.structs.replace(self.session, age_ms=int((now - self.opened_at) * _MS_PER_S))


class _PeerSessions:
    """The sessions of another controller up to `counter`, and when that controller was last heard (s)."""

    __slots__ = ("counter", "gateways", "heard_at", "incarnation")

    def __init__(self, incarnation: str, now: float) -> None:
        self.incarnation = incarnation
        self.counter = 0
        self.heard_at = now
        self.gateways: dict[str, _StoredSession] = {}

    def is_valid(self, now: float) -> bool:
        """Return whether these sessions still count."""
        return now - self.heard_at <= CONTROLLER_TIMEOUT_S + EXPIRY_GRACE_S


class SessionTable:
    """The sessions known to the controller at address `me`, in its process `incarnation`."""

    def __init__(self, me: str, incarnation: str) -> None:
        self.me = me
        self.incarnation = incarnation
        self._counter = 0
        self._own: dict[str, _StoredSession] = {}
        self._closed: dict[str, int] = {}  # gateway -> counter at which its session ended
        self._pruned_counter = 0  # closed sessions up to this counter are no longer listed
        self._peers: dict[str, _PeerSessions] = {}
        self._ended_incarnations: dict[tuple[str, str], None] = {}  # (controller, incarnation), as an ordered set
        self._last_seen: dict[str, float] = {}  # gateway -> when it was last a member (s)
        self._last_tick_at: float | None = None

    # The sessions of this controller

    def open(self, gateway: str, incarnation: str, now: float, number: int = 0, az: str = "") -> None:
        """Open a session, replacing any that the gateway had here."""
        self._counter += 1
        self._closed.pop(gateway, None)
        self._own[gateway] = _StoredSession(Session(gateway, incarnation, number, az), now, now, self._counter)

    def renew(self, gateway: str, now: float, demand: dict[str, float] | None = None) -> bool:
        """Renew a session, and update the demand if it is given. Returns False if there is no session."""
        stored = self._own.get(gateway)
        if stored is None:
            return False
        stored.renewed_at = now
        if demand is not None and demand != stored.session.demand:
            self._counter += 1
            stored.changed_at = self._counter
            stored.session = msgspec.structs.replace(stored.session, demand=demand)
        return True

    def close(self, gateway: str, incarnation: str, now: float, is_leaving: bool = False) -> bool:
        """Close a session; `is_leaving` if the gateway shuts down. Returns False if this incarnation has none open."""
        stored = self._own.get(gateway)
        if stored is None or stored.session.incarnation != incarnation:
            return False
        self._end(gateway)
        if is_leaving:
            self._last_seen.pop(gateway, None)
        else:
            self._last_seen[gateway] = now
        return True

    def tick(self, now: float) -> list[str]:
        """End sessions that were not renewed and return their gateways. To be called a few times a second."""
        self._compensate_freeze(now)
        expired = [gateway for gateway, stored in self._own.items() if now - stored.renewed_at > SESSION_TIMEOUT_S]
        for gateway in expired:
            self._end(gateway)
        for address, peer in list(self._peers.items()):
            if not peer.is_valid(now):
                # The process may be alive behind a partition, so its incarnation is not recorded as ended; but its next
                # update has to be complete.
                del self._peers[address]
        for gateway in self.members(now):
            self._last_seen[gateway] = now
        for gateway, seen_at in list(self._last_seen.items()):
            if now - seen_at > RECENT_MEMBER_S:
                del self._last_seen[gateway]
        return expired

    def _compensate_freeze(self, now: float) -> None:
        """Extend all sessions by the time this process was suspended, as received messages are still to be read."""
        frozen_s = 0.0 if self._last_tick_at is None else now - self._last_tick_at
        self._last_tick_at = now
        if frozen_s <= MIN_FREEZE_S:
            return
        for stored in self._own.values():
            stored.renewed_at = min(now, stored.renewed_at + frozen_s)
        for peer in self._peers.values():
            peer.heard_at = min(now, peer.heard_at + frozen_s)

    def update_since(self, counter: int, now: float) -> SessionUpdate:
        """Return the update for a controller that has these sessions up to `counter` (0: none)."""
        base = counter if self._pruned_counter <= counter <= self._counter else 0
        gateways = [stored.as_of(now) for stored in self._own.values() if stored.changed_at > base]
        closed = [gateway for gateway, closed_at in self._closed.items() if closed_at > base] if base else []
        return SessionUpdate(self.me, self.incarnation, base, self._counter, gateways, closed)

    @property
    def counter(self) -> int:
        """Increases with every change of this controller's sessions."""
        return self._counter

    # The sessions of others

    def apply_update(self, update: SessionUpdate, now: float) -> bool:
        """Apply another controller's update. Returns False if earlier changes are missing: request the full state."""
        if update.controller == self.me or (update.controller, update.incarnation) in self._ended_incarnations:
            return True
        peer = self._peer_of(update, now)
        if peer is None:
            return False
        peer.heard_at = now
        if update.counter < peer.counter:
            return True  # a newer one has arrived before
        if update.base > peer.counter:
            return False
        if update.base == 0:
            self._note_last_seen(peer, now)
            peer.gateways.clear()
        for gateway in update.closed:
            if peer.gateways.pop(gateway, None) is not None:
                self._last_seen[gateway] = now
        for session in update.gateways:
            opened_at = now - session.age_ms / _MS_PER_S
            peer.gateways[session.gateway] = _StoredSession(session, opened_at, now, update.counter)
        peer.counter = update.counter
        return True

    def _peer_of(self, update: SessionUpdate, now: float) -> _PeerSessions | None:
        """Return the sender's sessions, reset for a new incarnation; None if that starts with a partial update."""
        peer = self._peers.get(update.controller)
        if peer is not None and peer.incarnation == update.incarnation:
            return peer
        if update.base != 0:
            return None
        if peer is not None:
            self._record_ended_incarnation(update.controller, peer.incarnation)
            self._note_last_seen(peer, now)
        self._peers[update.controller] = _PeerSessions(update.incarnation, now)
        return self._peers[update.controller]

    def record_contact(self, controller: str, incarnation: str, now: float) -> None:
        """Keep a controller's sessions valid after another message of the same incarnation."""
        peer = self._peers.get(controller)
        if peer is not None and peer.incarnation == incarnation:
            peer.heard_at = now

    # Members

    def members(self, now: float) -> dict[str, str]:
        """Return the members and the controller of each one's session; the newest of several sessions counts."""
        return {gateway: controller for gateway, (controller, _) in self._newest(now).items()}

    def count(self, now: float) -> int:
        """Count current and recent members: a gateway that reconnects to another controller keeps counting."""
        recent = {gateway for gateway, seen_at in self._last_seen.items() if now - seen_at <= RECENT_MEMBER_S}
        valid_sessions = (peer.gateways for peer in self._peers.values() if peer.is_valid(now))
        return len(recent.union(self._own, *valid_sessions))

    def _newest(self, now: float) -> dict[str, tuple[str, _StoredSession]]:
        newest: dict[str, tuple[str, _StoredSession]] = {}
        tables = [(self.me, self._own)]
        tables += [(address, peer.gateways) for address, peer in self._peers.items() if peer.is_valid(now)]
        for controller, table in tables:
            for gateway, stored in table.items():
                other = newest.get(gateway)
                if other is None or _is_newer((controller, stored), other):
                    newest[gateway] = (controller, stored)
        return newest

    def _end(self, gateway: str) -> None:
        self._counter += 1
        del self._own[gateway]
        self._closed[gateway] = self._counter
        while len(self._closed) > MAX_CLOSED_SESSIONS:
            oldest = next(iter(self._closed))
            self._pruned_counter = max(self._pruned_counter, self._closed.pop(oldest))

    def _note_last_seen(self, peer: _PeerSessions, now: float) -> None:
        if peer.is_valid(now):
            for gateway in peer.gateways:
                self._last_seen[gateway] = now

    def _record_ended_incarnation(self, controller: str, incarnation: str) -> None:
        self._ended_incarnations[controller, incarnation] = None
        while len(self._ended_incarnations) > MAX_ENDED_INCARNATIONS:
            del self._ended_incarnations[next(iter(self._ended_incarnations))]


def _is_newer(one: tuple[str, _StoredSession], other: tuple[str, _StoredSession]) -> bool:
    (one_controller, one_session), (other_controller, other_session) = one, other
    if (
        one_session.session.incarnation == other_session.session.incarnation
        and one_session.session.number != other_session.session.number
    ):
        return one_session.session.number > other_session.session.number
    return (one_session.opened_at, one_controller) > (other_session.opened_at, other_controller)
