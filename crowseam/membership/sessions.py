"""Membership: a gateway is a member while its session with a controller stands.

Each controller owns the sessions of the gateways connected to it and tells the others about them as a state with
a counter.  Nobody but the owner changes it; when the owner falls silent its sessions lapse after a term,
unless the gateways have opened others elsewhere before.  Times are ``now`` in seconds of the own steady clock.
"""

import msgspec

STAND = 2.5  # seconds without a renewal after which the owner ends a session
LAPSE = 2.0  # seconds of silence of a controller after which its sessions begin to lapse
TERM = 6.0  # seconds that lapsing sessions still stand
LINGER = 3.0  # seconds for which a gateway that lost its session is still counted, as most come back
PAUSE = 1.0  # seconds between two ticks from which on we take ourselves to have been held up
DEAD_LIVES = 64  # how many ended lives of controllers are remembered


class Session(msgspec.Struct, frozen=True, array_like=True):
    """One gateway's session: its process life, the number of this session within that life, its zone.

    ``asks`` are requests asked per second and tenant; ``age`` is ms since the session was opened, at the
    moment of sending.
    """

    gateway: str
    life: str
    hop: int = 0
    az: str = ""
    asks: dict[str, float] = {}
    age: int = 0


class SessionsTold(msgspec.Struct, frozen=True, array_like=True, tag="sessions"):
    """A controller's sessions: all of them (``base`` 0), or what changed after counter ``base``."""

    controller: str
    life: str
    base: int
    counter: int
    gateways: list[Session]
    closed: list[str]


class _Kept:
    __slots__ = ("session", "opened", "renewed", "place")

    def __init__(self, session: Session, opened: float, renewed: float, place: int):
        self.session = session
        self.opened = opened
        self.renewed = renewed
        self.place = place


class _Peer:
    __slots__ = ("life", "counter", "heard", "gateways")

    def __init__(self, life: str, now: float):
        self.life = life
        self.counter = 0
        self.heard = now
        self.gateways: dict[str, _Kept] = {}


class SessionTable:
    """What the controller at address ``me``, in its process life ``life``, knows of the members."""

    def __init__(self, me: str, life: str):
        self.me = me
        self.life = life
        self._counter = 0
        self._own: dict[str, _Kept] = {}
        self._closed: dict[str, int] = {}  # gateway -> counter at which its session here ended
        self._floor = 0  # ends of sessions up to this counter are no longer listed
        self._peers: dict[str, _Peer] = {}
        self._dead: dict[tuple[str, str], None] = {}
        self._last: dict[str, float] = {}  # gateway -> when it was last seen as a member
        self._ticked: float | None = None

    # -- our own sessions

    def opened(self, gateway: str, life: str, now: float, hop: int = 0, az: str = "") -> None:
        """A gateway has opened a session here, in place of any it had."""
        self._counter += 1
        self._closed.pop(gateway, None)
        self._own[gateway] = _Kept(Session(gateway, life, hop, az), now, now, self._counter)

    def renewed(self, gateway: str, now: float, asks: dict[str, float] | None = None) -> bool:
        """The session shows life, with its asks if they are to be told on. False: there is no session."""
        kept = self._own.get(gateway)
        if kept is None:
            return False
        kept.renewed = now
        if asks is not None and asks != kept.session.asks:
            self._counter += 1
            kept.place = self._counter
            kept.session = msgspec.structs.replace(kept.session, asks=asks)
        return True

    def closed(self, gateway: str, life: str, now: float, leaving: bool = False) -> bool:
        """A session here has ended; ``leaving`` if the gateway said that it stops. False: not that life's."""
        kept = self._own.get(gateway)
        if kept is None or kept.session.life != life:
            return False
        self._end(gateway)
        if leaving:
            self._last.pop(gateway, None)
        else:
            self._last[gateway] = now
        return True

    def tick(self, now: float) -> list[str]:
        """End sessions that were not renewed; returns their gateways. To be called a few times a second."""
        held_up = 0.0 if self._ticked is None else now - self._ticked
        self._ticked = now
        if held_up > PAUSE:
            # We stood still ourselves: what came meanwhile has yet to be read.
            for kept in self._own.values():
                kept.renewed = min(now, kept.renewed + held_up)
            for peer in self._peers.values():
                peer.heard = min(now, peer.heard + held_up)
        stale = [gateway for gateway, kept in self._own.items() if now - kept.renewed > STAND]
        for gateway in stale:
            self._end(gateway)
        for address, peer in list(self._peers.items()):
            if not self._stands(peer, now):
                # The process may be alive behind a cut, so its life is not over; but what it tells next
                # has to be whole.
                del self._peers[address]
        for gateway in self.members(now):
            self._last[gateway] = now
        for gateway, at in list(self._last.items()):
            if now - at > LINGER:
                del self._last[gateway]
        return stale

    def own(self, now: float, after: int = 0) -> SessionsTold:
        """What to tell a controller that has our state up to counter ``after`` (0: everything)."""
        if not self._floor <= after <= self._counter:
            after = 0
        gateways = [
            msgspec.structs.replace(kept.session, age=int((now - kept.opened) * 1000))
            for kept in self._own.values()
            if kept.place > after
        ]
        closed = [gateway for gateway, place in self._closed.items() if place > after] if after else []
        return SessionsTold(self.me, self.life, after, self._counter, gateways, closed)

    @property
    def counter(self) -> int:
        """Moves with every change of our own sessions."""
        return self._counter

    # -- the sessions of others

    def take(self, told: SessionsTold, now: float) -> bool:
        """Take what another controller tells. False if something before it is missing: ask it for all."""
        if told.controller == self.me or (told.controller, told.life) in self._dead:
            return True
        peer = self._peers.get(told.controller)
        if peer is None or peer.life != told.life:
            if told.base != 0:
                return False
            if peer is not None:
                self._remember_dead(told.controller, peer.life)
                self._note_last(peer, now)
            peer = self._peers[told.controller] = _Peer(told.life, now)
        peer.heard = now
        if told.counter < peer.counter:
            return True  # overtaken on its way by a newer one
        if told.base > peer.counter:
            return False
        if told.base == 0:
            self._note_last(peer, now)
            peer.gateways.clear()
        for gateway in told.closed:
            if peer.gateways.pop(gateway, None) is not None:
                self._last[gateway] = now
        for session in told.gateways:
            peer.gateways[session.gateway] = _Kept(session, now - session.age / 1000, now, told.counter)
        peer.counter = told.counter
        return True

    def heard(self, controller: str, life: str, now: float) -> None:
        """Any other message of that life of a controller keeps its sessions standing."""
        peer = self._peers.get(controller)
        if peer is not None and peer.life == life:
            peer.heard = now

    def have(self, controller: str) -> tuple[str, int]:
        """(life, counter) up to which we know a controller's sessions; ("", 0) if we know nothing."""
        peer = self._peers.get(controller)
        return ("", 0) if peer is None else (peer.life, peer.counter)

    # -- members

    def members(self, now: float) -> dict[str, str]:
        """Each member and the controller its session is with; of several sessions the newest counts."""
        return {gateway: controller for gateway, (controller, _) in self._newest(now).items()}

    def sessions(self, now: float) -> dict[str, Session]:
        """Each member's newest session, with its age as of now."""
        return {
            gateway: msgspec.structs.replace(kept.session, age=int((now - kept.opened) * 1000))
            for gateway, (_, kept) in self._newest(now).items()
        }

    def count(self, now: float) -> int:
        """Members, and gateways that were members a moment ago: a gateway that changes controllers counts on."""
        lately = {gateway for gateway, at in self._last.items() if now - at <= LINGER}
        standing = (peer.gateways for peer in self._peers.values() if self._stands(peer, now))
        return len(lately.union(self._own, *standing))

    # -- inside

    def _newest(self, now: float) -> dict[str, tuple[str, _Kept]]:
        found: dict[str, tuple[str, _Kept]] = {}
        tables = [(self.me, self._own)]
        tables += [(address, peer.gateways) for address, peer in self._peers.items() if self._stands(peer, now)]
        for controller, table in tables:
            for gateway, kept in table.items():
                other = found.get(gateway)
                if other is None or _newer((controller, kept), other):
                    found[gateway] = (controller, kept)
        return found

    @staticmethod
    def _stands(peer: _Peer, now: float) -> bool:
        return now - peer.heard <= LAPSE + TERM

    def _end(self, gateway: str) -> None:
        self._counter += 1
        del self._own[gateway]
        self._closed[gateway] = self._counter
        while len(self._closed) > 256:
            first = next(iter(self._closed))
            self._floor = max(self._floor, self._closed.pop(first))

    def _note_last(self, peer: _Peer, now: float) -> None:
        if self._stands(peer, now):
            for gateway in peer.gateways:
                self._last[gateway] = now

    def _remember_dead(self, controller: str, life: str) -> None:
        self._dead[controller, life] = None
        while len(self._dead) > DEAD_LIVES:
            del self._dead[next(iter(self._dead))]


def _newer(one: tuple[str, _Kept], other: tuple[str, _Kept]) -> bool:
    (here, a), (there, b) = one, other
    if a.session.life == b.session.life and a.session.hop != b.session.hop:
        return a.session.hop > b.session.hop
    return (a.opened, here) > (b.opened, there)
