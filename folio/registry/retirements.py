"""Retirements at a registry: an operator's call until a majority has it on disk, and who is still busy."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from folio import clock, logs
from folio.accession import quorum
from folio.accession.register import Record, check_id
from folio.accession.retiring import Asked, Look, RacedError, shares, tight
from folio.transport import messages as m
from folio.transport.http import Call
from folio.transport.links import frame
from folio.vault.store import Note

if TYPE_CHECKING:
    from folio.registry.daemon import Registry, Session

NOTE = "retired/"   # what a record is kept under until the whole register is next written
LOOK, LOOK_NEAR = 0.6, 0.35     # s that all desks have to say what they have under way; those of one registry


class Order(msgspec.Struct):
    """The body of a call to retire servers: those that all the fields given fit."""

    id: str = ""
    ver: str = ""
    az: str = ""
    svc: str = ""
    undo: bool = False
    force: bool = False


class Retirements:
    """The part of a registry that carries servers out of use."""

    def __init__(self, registry: Registry) -> None:
        self.at = registry
        self.asked: dict[int, tuple[Asked, dict[str, float], float]] = {}   # calls: shares left, begun at
        self.looks: dict[int, tuple[Look, int, Callable[[Look], None]]] = {}    # the place desks must have
        self.noted: set[str] = set()    # notes on disk

    # On disk

    def restore(self, notes: dict[str, bytes]) -> list[Record]:
        """What was noted since the register was last written. Raises msgspec.DecodeError."""
        self.noted = {key for key in notes if key.startswith(NOTE)}
        return [msgspec.msgpack.decode(notes[key], type=Record) for key in sorted(self.noted)]

    def hold(self, addr: str, hold: quorum.Hold, now: float) -> None:
        """Merge a record, and confirm it; with an operator's word in it, once it is on our disk."""
        held = quorum.answer(hold, self.at.register, now)
        record = self.at.register.get(hold.record.id, now)
        if record is None or not record.retired or self.at.disk is None:
            return self.at._post(addr, held)
        key = NOTE + record.id
        self.noted.add(key)
        self.at.disk.write([Note(key, msgspec.msgpack.encode(record))],
                           lambda ok: self.at._post(addr, held) if ok else None)

    def dropped(self) -> list[Note]:
        """The notes that the register, written whole, stands for from now on."""
        notes = [Note(key, None) for key in self.noted]
        self.noted.clear()
        return notes

    # The operator's call

    def call(self, call: Call) -> None:
        at, now = self.at, self.at.now()
        try:
            order = msgspec.json.decode(call.body, type=Order)
        except msgspec.DecodeError as error:
            return call.reply(400, _error(str(error)))
        fields = {name: value for name in ("id", "ver", "az", "svc") if (value := getattr(order, name))}
        if not fields.keys() & {"id", "ver", "az"}:
            return call.reply(400, _error("id, ver or az: one of them is needed"))
        if not at.in_touch(now):
            return call.reply(503, _error("in touch with no majority of the voters"))
        found = at.register.matching(**fields)
        if not found:
            return call.reply(404, _error("no server that is known fits"))
        room = at.register.room(found, not order.undo, at.quiet)
        if (short := tight(room)) and not order.undo and not order.force:
            logs.say("retire_refused", found=len(found), short=",".join(short))
            text = ", ".join(f"{svc} would keep {share:.0%} of its slots"
                             for svc, share in shares(room).items() if svc in short)
            return call.reply(409, msgspec.json.encode(
                {"error": f"{text}; with force it is done all the same", "room": shares(room)}))
        asked = Asked(found, not order.undo)
        number = at._ticket(call, "retire")
        self.asked[number] = asked, shares(room), now
        self._write(asked, found, now)
        logs.say("retire", undo=order.undo, found=len(found), changed=len(asked.changed))
        for ident in found:
            self._hold(number, ident, now)

    def _write(self, asked: Asked, idents: list[str], now: float) -> None:
        if changed := self.at.register.retire(idents, asked.out, now):
            asked.changed.update(record.id for record in changed)
            self.at._broadcast(m.Rows(changed))
            self.at._tell_desks(now)

    def _hold(self, number: int, ident: str, now: float) -> None:
        at = self.at
        if number not in self.asked:
            return
        voters = [voter.addr for voter in at.node.voters]
        near = at.detector.near(now, set(voters) - {at.me})
        record = at.register.get(ident, now) or Record(ident, phase="gone")
        try:
            out, done = at.pending.begin((number, ident), record, voters, now, near, fresh=True)
        except quorum.QuorumError as error:
            return self._end(number, 503, _error(str(error)))
        at._post_all(out)
        if done:
            self.confirmed((number, ident))

    def held(self, held: quorum.Held, now: float) -> None:
        """A voter may know of a later word of the operator's than we do."""
        record = self.at.register.get(held.id, now)
        if record is not None and held.retired > record.retired:
            self.at.register.join(msgspec.structs.replace(record, retired=held.retired), now)
            self.at._tell_desks(now)

    def confirmed(self, ticket: tuple[int, str]) -> None:
        """A majority of the voters has the record of this server on disk."""
        number, ident = ticket
        if number not in self.asked:
            return
        asked, room, begun = self.asked[number]
        now = self.at.now()
        try:
            again = asked.held(ident, self.at.register.get(ident, now))
        except RacedError as error:
            return self._end(number, 409, _error(str(error)))
        if again:
            self._write(asked, [ident], now)
            self._hold(number, ident, now)
        elif not asked.left:
            logs.say("retire_held", undo=not asked.out, found=len(asked.found), took=now - begun)
            self._end(number, 200, msgspec.json.encode(
                {"found": asked.found, "changed": sorted(asked.changed), "room": room}))

    def late(self, ticket: tuple[int, str]) -> None:
        """No majority has confirmed this server in time."""
        self._end(ticket[0], 503, _error("no majority has confirmed it in time"))

    def _end(self, number: int, status: int, body: bytes) -> None:
        asked, _, _ = self.asked.pop(number, (None, None, None))
        if asked is None:
            return
        for ident in asked.left:
            self.at.pending.drop((number, ident))
        call, _ = self.at.waiting.pop(number, (None, ""))
        if call is not None:
            call.reply(status, body)

    # Who is still busy

    def call_look(self, call: Call, ident: str) -> None:
        """Show servers that leave, or what has become of one."""
        at, now = self.at, self.at.now()
        at._tell_desks(now)     # before they are asked up to where they follow
        leaving = at.register.leaving(now)
        if ident:
            record = at.register.get(check_id(ident), now)
            if record is None:
                return call.reply(404, _error("this server is not known"))
            if record.phase == "gone" or record.usable:
                state = "gone" if record.phase == "gone" else "in_use"
                row = {"id": ident, "state": state, "safe": state == "gone"}
                return self._show(call, Look(()), [row])
            leaving = [each for each in leaving if each[0].id == ident]
        if not leaving:
            return self._show(call, Look(()), [])
        near = at.detector.near(now, at.dialers)
        members = at.roll.members(now)
        number = at._ticket(call, "look")

        def done(look: Look) -> None:
            at.waiting.pop(number, None)
            look.registry(at.me, {}, self._away(), {})
            self._show(call, look, look.told(leaving, at.in_touch(at.now()), clock.time()))

        self._look(number, Look(at.sessions, near, members), LOOK, done)
        watch = m.Watch(number, [record for record, _ in leaving])
        for addr in near:
            at._post(addr, watch)

    def _show(self, call: Call, look: Look, rows: list[dict]) -> None:
        now = self.at.now()
        silent = {addr for addr in self.at.dialers if addr not in self.at.detector.near(now, [addr])}
        call.reply(200, msgspec.json.encode({
            "in_touch": self.at.in_touch(now), "silent": sorted(silent | look.silent),
            "away": {desk: round(span, 1) for desk, span in look.missing().items()}, "servers": rows}))

    def watch(self, addr: str, watch: m.Watch, now: float) -> None:
        """Another registry asks for our desks; they hear of what it knows first."""
        for record in watch.records:
            self.at.register.join(record, now)
        self.at._tell_desks(now)
        asked = {record.id for record in watch.records}
        ages = {record.id: age for record, age in self.at.register.leaving(now) if record.id in asked}
        number = self.at.tickets = self.at.tickets + 1
        self._look(number, Look(self.at.sessions), LOOK_NEAR, lambda look: self.at._post(
            addr, m.Watched(watch.number, look.out, self._away(), ages)))

    def watched(self, addr: str, watched: m.Watched) -> None:
        if (found := self.looks.get(watched.number)) is not None:
            found[0].registry(addr, watched.desks, watched.away, watched.ages)
            self._check(watched.number)

    def counted(self, session: Session, told: m.Leaving) -> None:
        """A desk says what it has under way, and up to where it has followed the register."""
        found = self.looks.get(told.number)
        if found is not None and told.register == self.at.life and told.place >= found[1]:
            found[0].desk(session.desk, told.under_way)
            self._check(told.number)

    def _look(self, number: int, look: Look, span: float, done: Callable[[Look], None]) -> None:
        self.looks[number] = look, self.at.register.place[1], done
        data = frame(m.Count(number))
        for session in self.at.sessions.values():
            session.link.write(data)
        self.at.loop.call_later(span, self._over, number)
        self._check(number)

    def _check(self, number: int) -> None:
        if self.looks[number][0].whole:
            self._over(number)

    def _over(self, number: int) -> None:
        look, _, done = self.looks.pop(number, (None, 0, None))
        if look is not None:
            done(look)

    def _away(self) -> dict[str, float]:
        """Desks that were members and are not, by the seconds since they last were."""
        now = self.at.now()
        members = self.at.roll.members(now)
        return {desk: now - seen for desk, seen in self.at.desk_seen.items() if desk not in members}


def _error(text: str) -> bytes:
    return msgspec.json.encode({"error": text})
