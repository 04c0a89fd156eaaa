"""The sessions of desks: opened, brought up to date, told the news, ended."""

from __future__ import annotations

from math import inf

from folio import logs
from folio.accession.register import Register
from folio.catalogue.structs import version_text
from folio.consensus import messages as consensus
from folio.consensus.records import Apply
from folio.lending.slices import Known
from folio.membership.ills import Ills
from folio.membership.sessions import Roll
from folio.registry.disk import WHOLE
from folio.registry.machine import Machine
from folio.registry.peers import Peers
from folio.transport import messages as m
from folio.transport.links import Link, frame
from folio.vault.store import Member, Note

SEEN = 120.0    # s for which it is known when a desk was last a member
LEASED = 9.0    # s after it was last a member that a desk may still hold a lease


class Session:
    """A desk's session here.

    `slot` is the place in the log, `place` the place in the register up to which the desk was told.
    """

    __slots__ = ("link", "desk", "life", "hop", "place", "slot")

    def __init__(self, link: Link, desk: str, life: int, hop: int) -> None:
        self.link, self.desk, self.life, self.hop = link, desk, life, hop
        self.place, self.slot = -1, -1


class Desks:
    """The desks that follow this registry, and what all of them are told. Times are seconds (steady).

    `kept` are those that may hold a lease, as of before the start; `whole`: these are all.
    """

    def __init__(self, register: Register, roll: Roll, machine: Machine, peers: Peers, kept: set[str],
                 whole: bool, now: float) -> None:
        self.register, self.roll, self.machine, self.peers = register, roll, machine, peers
        self.node = peers.node
        self.sessions: dict[str, Session] = {}
        self.borrowers = Known(kept, whole, now, LEASED)
        self.seen = dict.fromkeys(kept, now)    # when each was last a member, for SEEN seconds
        self._kept = kept       # those of them that are on disk
        self._noted: bool | None = None     # whether the disk says that these are all
        self.quiet: list[str] = []      # servers of which nothing has been heard for a while
        self._met = False       # whether this registry has been in touch
        self._touched = -inf    # since when it is again, after it was not; inf while it is not
        self.shunned: list[str] = []
        self.ills = Ills()

    # Sessions

    def open(self, link: Link, message: m.Open, now: float) -> None:
        """Begin a session, in place of any that the desk had here, and bring the desk up to date."""
        link.peer = message.desk
        old = self.sessions.get(message.desk)
        session = self.sessions[message.desk] = Session(link, message.desk, message.life, message.hop)
        if old is not None:
            old.link.close()
        self.roll.opened(message.desk, str(message.life), now, message.hop, message.az)
        link.send(m.Welcome(self.peers.me, [self.peers.me, *self.peers.names(now)]))
        records = self.register.since(message.register, message.place, now)
        whole = records is None
        life, session.place = self.register.place
        rows = self.register.snapshot(now) if whole else records
        link.send(m.Servers(life, session.place, whole, rows), m.Quiet(self.quiet), m.Shun(self.shunned))
        # Servers first: a large configuration takes a while to come, and some of them may have left.
        session.slot = message.slot
        self._catch_up(session)
        link.send(m.Pulse(self.roll.count(now), self.node.last, self.peers.current(now)))
        logs.say("session_opened", desk=message.desk, slot=message.slot, whole=whole)

    def ended(self, link: Link, now: float) -> bool:
        """A link has ended; whether it was that of a session."""
        session = self.sessions.get(link.peer)
        if session is None or session.link is not link:
            return False
        del self.sessions[link.peer]
        self.roll.closed(session.desk, str(session.life), now)
        logs.say("session_closed", desk=session.desk)
        return True

    def bye(self, session: Session, _: m.Bye, now: float) -> None:
        """The desk stops; it counts as a member no longer."""
        self.roll.closed(session.desk, str(session.life), now, leaving=True)

    def lapse(self, now: float) -> None:
        """End the sessions of desks that have reported nothing for too long."""
        for desk in self.roll.tick(now):
            if (session := self.sessions.pop(desk, None)) is not None:
                logs.say("session_lapsed", desk=desk)
                session.link.close()

    def unsaved(self, now: float) -> list[Member | Note]:
        """What is to be kept of desks that may hold a lease, or no longer do; it then counts as kept."""
        members = self.roll.members(now)
        self.borrowers.saw(members, now)
        self.seen = {desk: at for desk, at in self.seen.items() if now - at < SEEN}
        self.seen.update(dict.fromkeys(members, now))
        lately = self.borrowers.lately(now)
        records: list[Member | Note] = [Member(desk, b"") for desk in lately - self._kept]
        records += [Member(desk, None) for desk in self._kept - lately]
        self._kept = lately
        if (whole := self.borrowers.known(now) is not None) != self._noted:
            self._noted = whole
            records.append(Note(WHOLE, b"1" if whole else None))
        return records

    # The configuration

    def follow(self, applied: Apply) -> None:
        """Tell the desks what was agreed on."""
        entry = applied.entry
        if isinstance(entry, consensus.Change):
            logs.say("applied", slot=applied.slot, ver=version_text(entry.ver))
            step = m.Step(applied.slot, entry.whole, m.pack(entry.body))
        elif entry is None:
            step = m.State(applied.slot, m.pack(self.machine.config.dump()))
            logs.say("state_taken", slot=applied.slot, ver=version_text(self.machine.config.ver))
        else:
            if isinstance(entry, consensus.Voters):
                logs.say("voters", slot=applied.slot, voters=",".join(v.addr for v in entry.voters))
            step = m.Step(applied.slot)
        data = frame(step)
        for session in self.sessions.values():
            if entry is None or session.slot == applied.slot - 1:
                session.link.write(data)
                session.slot = applied.slot
            else:
                self._catch_up(session)

    def _catch_up(self, session: Session) -> None:
        """Bring a desk from its place to ours: a snapshot, as it is one message."""
        if session.slot < self.node.last:
            session.slot = self.node.last
            session.link.send(m.State(self.node.last, m.pack(self.machine.config.dump())))

    # Servers

    def tell_news(self, now: float) -> None:
        """Tell each desk what changed in the register since it was last told."""
        life, place = self.register.place
        frames: dict[int, bytes] = {}
        for session in self.sessions.values():
            if session.place >= place:
                continue
            if session.place not in frames:
                records = self.register.since(life, session.place, now)
                whole = records is None
                frames[session.place] = frame(m.Servers(
                    life, place, whole, self.register.snapshot(now) if whole else records))
            session.link.write(frames[session.place])
            session.place = place

    def mind_servers(self, now: float, after: float) -> None:
        """Tell the desks which servers are gone or have been silent for `after` s, when that changes.

        Servers that were not silent before are so only once this registry has been in touch for as long:
        until then it is the registry that has not heard them, while they told others.
        """
        if self.register.expire(now):
            self.tell_news(now)
        quiet = self.register.silent(now, after)
        if self.peers.in_touch(now):
            self._met = True
            self._touched = now if self._touched == inf else self._touched
        elif self._met:
            self._touched = inf
        if now - self._touched < after:
            quiet = [ident for ident in quiet if ident in self.quiet]
        if quiet != self.quiet:
            self.quiet = quiet
            self.tell(m.Quiet(quiet))

    def complaint(self, session: Session, ill: m.Ill, now: float) -> None:
        """A desk here complains of servers, or no longer does; all registries hear of it."""
        self.ills.tell(session.desk, ill.news, now)
        self.peers.broadcast(m.Ill(session.desk, ill.news))
        self.mind_ills(now)

    def complaint_told(self, _: str, ill: m.Ill, now: float) -> None:
        """Another registry passes on what a desk complains of."""
        self.ills.tell(ill.desk, ill.news, now)
        self.mind_ills(now)

    def mind_ills(self, now: float) -> None:
        """Tell the desks which servers the fleet shuns, when that changes."""
        shunned = self.ills.shunned(self.register.service_of, self.register.size_of, now)
        if shunned != self.shunned:
            logs.say("shunned", servers=",".join(shunned))
            self.shunned = shunned
            self.tell(m.Shun(shunned))

    # All of them

    def pulse(self, now: float) -> None:
        """A sign of life to each."""
        # One for all sessions: to count the members goes through all of them.
        self.tell(m.Pulse(self.roll.count(now), self.node.last, self.peers.current(now)))

    def tell(self, message: m.Message) -> None:
        """Send to each desk that has a session here."""
        data = frame(message)
        for session in self.sessions.values():
            session.link.write(data)

    def pass_on(self, desk: str, message: m.Message) -> None:
        """Send to one desk; it is lost where that has no session here."""
        if (session := self.sessions.get(desk)) is not None:
            session.link.send(message)
