"""Duties, cut by key over the live controllers that vote; a key changes hands under a fence.

The wanted holder of a key is found by highest random weight over the live controllers, so one that comes or
goes moves only the keys it had or gets. Being wanted gives no right: a holder needs a lease from a majority
of the voters, renewed each half second. A voter grants a key to one holder at a time, by its own steady
clock; the holder counts from when it sent the request, so its lease has ended when a voter grants to the
next.

Each hand has a higher fence than the one before. A candidate first gets grants of a majority, which tell
the highest fence they have seen; it takes a higher one, and holds the key when a majority has granted and
noted that. Receivers of what a holder sends refuse a lower fence than they have seen, so that a late holder
changes nothing.

On disk, voters keep whom they granted each key last and the highest fence they have seen. One that has just
started grants it to that one alone for a term; one that has just become a voter, or has lost its disk, to
nobody, and to nobody either before it has been told the fences that a majority has seen (`learning`). Should
one be forgotten all the same, its low bits are random, so that no two hands have the same one, and who meets
a higher fence than the holder's reports it with `saw`: the holder then takes a higher one still.

While the voters change, two majorities may have nobody in common. So a voter that has accepted a change and
does not know what became of it grants nothing, nor does one that does not vote as far as it knows, nor any to
an asker that may not know the voters yet: whoever holds a key by the voters before has been without grants
for a term when a newcomer grants its first.

A holder lends to borrowers under its key, and the next one has to know them all. So each request names those
that are new to the voter it goes to, and who borrows no more; the voter keeps them with the grant, in memory.
`named` tells the holder whom a majority has. A candidate is told by the voters whom they have of the hand
before: those of a majority together are all (`borrowers`). A voter that has just started, has just become
one, or has granted to a version that names nobody, is of no use in that until what was lent has ended.

All times are seconds of a steady clock.
"""

import hashlib
from collections.abc import Collection, Iterable
from functools import lru_cache
from random import Random

import msgspec

RANDOM_BITS = 20
_ALL = 1 << 62


class Seek(msgspec.Struct, array_like=True, tag="duties.seek"):
    """Asks a voter for a key for `term` seconds. Fence 0: which fences have been seen?

    `slot` is the newest slot of the log that the asker knows; -1: not told, by a version before.

    `news` are borrowers that came ("+name") or ended ("-name"), in the order in which they did, from number
    `base` on of list `listing` of this fence; `base` 0: from none at all. Listing 0: nobody is named yet; -1:
    by a version that does not name them. `partial`: others may hold what the hand before has lent.
    """

    key: str
    token: int
    fence: int
    term: float
    slot: int = -1
    listing: int = -1
    base: int = 0
    news: list[str] = []
    partial: bool = False


class Granted(msgspec.Struct, array_like=True, tag="duties.granted"):
    """The voter has the asker as the holder; `seen` is the highest fence it knows of.

    `count` is up to which number it has the list that the asker began; -1: a version before, it keeps none.
    `borrowers`, for who has not begun one: those of the hand before, None if the voter may not know them all.
    """

    key: str
    token: int
    seen: int
    count: int = -1
    borrowers: list[str] | None = None


class Refused(msgspec.Struct, array_like=True, tag="duties.refused"):
    """Another one has the key for `left` seconds more (holder "": the voter may have forgotten who)."""

    key: str
    token: int
    seen: int
    holder: str
    left: float


class Release(msgspec.Struct, array_like=True, tag="duties.release"):
    """The sender gives up what it was granted up to `token`."""

    key: str
    token: int


class Holding(msgspec.Struct, array_like=True, tag="duties.holding"):
    """The sender holds the key; news for controllers that do not vote."""

    key: str
    fence: int
    left: float


Message = Seek | Granted | Refused | Release | Holding
Outbox = list[tuple[str, Message]]


class DutyTerms(msgspec.Struct, frozen=True):
    """Figures of the duties, in seconds; the same on all controllers."""

    term: float = 1.4  # a grant holds so long, from when it was asked for
    margin: float = 0.1  # voters wait so much longer, for clocks that differ in speed by up to 2%
    renew: float = 0.35
    again: float = 0.04  # a candidate asks again, as links may have just come up
    answer: float = 0.5  # a candidate gives up a round that has no majority by then
    backoff: float = 0.3  # the longest random pause before it tries again
    # A holder gives a key up once it has not been the wanted one for so long. Each change of hands begins
    # with an empty reserve, so one that came back waits.
    settle: float = 20.0
    lasts: float = 9.0  # longer than a borrower can use what it was lent


class Vote(msgspec.Struct):
    """What a voter knows of one key."""

    holder: str = ""
    token: int = 0
    until: float = float("-inf")
    seen: int = 0
    listing: tuple[int, int] = (0, 0)  # whose list it has: the fence and the number of the list
    count: int = 0  # up to which number
    borrowers: dict[str, None] = {}
    blind_until: float = float("-inf")  # until when borrowers may be missing


class Hand(msgspec.Struct):
    """A candidate's or holder's own state for one key."""

    sent: dict[int, tuple[float, int, int]] = {}  # token -> (when, fence and list asked with)
    grants: dict[str, tuple[float, int]] = {}  # voter -> (when the granted request was sent, its fence)
    newest: dict[str, int] = {}  # voter -> the token of the newest request that it has granted
    fence: int = 0
    seen: int = 0
    since: float | None = None  # when the round began; None = not seeking
    held: bool = False
    next_at: float = float("-inf")
    unwanted: float | None = None  # since when another one is wanted
    token: int = 0
    # Borrowers, under this fence.
    told: dict[str, list[str] | None] = {}  # voter -> those of the hand before
    listing: int = 0  # the list that is being kept; 0: not begun
    news: list[str] = []
    places: dict[str, int] = {}  # borrower -> the number it was named with; 0: a majority has had it for long
    counts: dict[str, int] = {}  # voter -> up to which number it has the list
    asked: int = 0  # up to which number it was named to all
    whole_at: float = float("-inf")  # when those that are not listed hold nothing any more


def wanted(key: str, controllers: Iterable[str]) -> str | None:
    """The controller that should hold the key: the one with the highest weight; None if there is none."""
    return max(controllers, key=lambda name: (_weight(key, name), name), default=None)


@lru_cache(maxsize=4096)
def _weight(key: str, name: str) -> bytes:
    # Asked for at each tick, and the same for all time.
    return hashlib.blake2b(f"{key}|{name}".encode(), digest_size=8).digest()


class Duties:
    """The duties of one controller, as a voter, a candidate and a holder.

    `me` is the address others know this controller by. Messages that handle, tick and release return are to
    be sent to the address beside them.
    """

    def __init__(
        self,
        me: str,
        rng: Random,
        now: float,
        keys: Iterable[str],
        terms: DutyTerms | None = None,
        remembered: dict[str, str] | None = None,
    ) -> None:
        self.me = me
        self.terms = terms or DutyTerms()
        self.keys = tuple(keys)
        self._rng = rng
        self._life = rng.getrandbits(30) << 32  # tokens of an earlier process are none of ours
        self._silent_until = now + self.terms.term + self.terms.margin
        self._voters: frozenset[str] | None = None
        self._slot, self._since, self._changing = -1, -1, False
        self.learning = False  # a newcomer that has not been told the fences yet; set by the owner
        blind = float("-inf") if remembered == {} else now + self.terms.lasts
        self._votes = {key: Vote(blind_until=blind) for key in self.keys}
        self._hands = {key: Hand() for key in self.keys}
        self._told: dict[str, tuple[str, float, int]] = {}  # key -> holder, until, fence
        self._closing = False
        self._saved = dict(remembered or {})
        self._remembered: dict[str, str] | None = None  # whom an earlier life granted what; None: not known
        if remembered is not None:
            self._remembered = {key: _holder(note)[0] for key, note in remembered.items()}
            for key, note in remembered.items():
                if key in self._votes:
                    self._votes[key].seen = _holder(note)[1]
        # key -> holder and fence, as noted on disk, to be there before what was returned goes out
        self.unsaved: dict[str, str] = {}

    def handle(self, sender: str, message: Message, now: float) -> Outbox:
        """Takes a message. One for a key that is not known here is dropped."""
        if message.key not in self._votes:
            return []
        if isinstance(message, Seek):
            return self._route(self._on_seek(sender, message, now), now)
        if isinstance(message, Granted):
            return self._route(self._on_granted(sender, message, now), now)
        if isinstance(message, Refused):
            self._on_refused(message, now)
        elif isinstance(message, Release):
            self._on_release(sender, message, now)
        elif isinstance(message, Holding):
            self._tell(message.key, sender, now + message.left, message.fence)
        return []

    def tick(self, now: float, live: set[str], voters: set[str]) -> Outbox:
        """Seeks, renews and gives up; to be called about ten times a second.

        `live` are the controllers heard from lately, `voters` those that vote.
        """
        if voters != self._voters:
            self.seat(frozenset(voters), now, self._slot, self._since, self._changing)
        if self._closing:
            return []
        out: Outbox = []
        for key in self.keys:
            who = wanted(key, (live | {self.me}) & voters)
            if now < self._silent_until and (self._remembered or {}).get(key) == self.me:
                who = self.me  # the one that all voters grant it to at once
            out += self._tend(key, self._hands[key], who, live, now)
        return self._route(out, now)

    def seat(self, voters: frozenset[str], now: float, slot: int = -1, since: int = -1, changing: bool = False) -> None:
        """The voters as they are known here; to be told before each message is handed in.

        `slot` is the newest slot of the log that is known here, `since` one after which these voters have
        not changed (-1: not told). `changing`: this voter has accepted others, and does not know whether
        they were chosen.
        """
        if self._voters is not None and self.me in voters and self.me not in self._voters:
            # The holder may still count on the voters before, and we know nothing of its grants.
            self._silent_until = max(self._silent_until, now + self.terms.term + self.terms.margin)
            self._remembered = None
            for vote in self._votes.values():
                vote.blind_until = now + self.terms.lasts
        self._voters = voters
        self._slot, self._since, self._changing = slot, since, changing

    def fences(self) -> dict[str, int]:
        """The highest fence that this voter has seen of each key; 0: none."""
        return {key: vote.seen for key, vote in self._votes.items()}

    def learn(self, fences: dict[str, int]) -> None:
        """Take over what another voter has seen; it is then among what is unsaved."""
        for key, fence in fences.items():
            if key in self._votes and fence > self._votes[key].seen:
                self._votes[key].seen = fence
                self._saved[key] = self.unsaved[key] = _note(_holder(self._saved.get(key, ""))[0], fence)

    def holds(self, key: str, now: float) -> int | None:
        """The fence under which this controller holds the key at this moment, or None."""
        hand = self._hands[key]
        if not hand.fence or now >= self._end(hand, hand.fence):
            return None
        return hand.fence

    def holder_of(self, key: str, now: float) -> str | None:
        """Who holds the key as far as is known here; None = not known."""
        if self.holds(key, now) is not None:
            return self.me
        told = self._told.get(key)
        if told is None or now >= told[1] or told[0] == self.me:
            return None
        return told[0]

    def saw(self, key: str, fence: int, now: float) -> Outbox:
        """Somebody has obeyed this fence: a hand of ours that is not higher takes a higher one.

        Until voters have noted that, the key is not held.
        """
        hand = self._hands[key]
        hand.seen = max(hand.seen, fence)
        if not hand.fence or hand.fence >= fence:
            return []
        return self._route(self._take_fence(key, hand, now), now)

    def release(self, now: float) -> Outbox:
        """Gives up every duty for good, before the process ends."""
        self._closing = True
        out: Outbox = []
        for key in self.keys:
            out += self._give_up(key, self._hands[key], now)
        return self._route(out, now)

    def borrowers(self, key: str) -> set[str] | None:
        """Who may hold what the hands before ours have lent; None: voters that know are no majority."""
        told = [
            names
            for voter, names in self._hands[key].told.items()
            if names is not None and voter in (self._voters or ())
        ]
        if 2 * len(told) <= len(self._voters or ()):
            return None
        return {name for names in told for name in names}

    def begin_list(self, key: str, names: Iterable[str], now: float, partial: bool = False) -> None:
        """Begin to name borrowers under the fence that is held, with those that a majority has already.

        `partial`: others may hold what the hand before has lent.
        """
        hand = self._hands[key]
        if partial:
            hand.whole_at = now + self.terms.lasts
        hand.listing, hand.asked, hand.counts = hand.listing + 1, 0, {}
        hand.places = dict.fromkeys(names, 0)
        hand.news = [f"+{name}" for name in hand.places]

    def name(self, key: str, names: Iterable[str], now: float) -> Outbox:
        """Have these named as borrowers; nothing is sent while a majority has yet to answer what was."""
        hand = self._hands[key]
        for name in names:
            if name not in hand.places:
                hand.news.append(f"+{name}")
                hand.places[name] = len(hand.news)
        return self._route(self._spread(key, hand, now), now)

    def strike(self, key: str, keep: Collection[str], now: float) -> None:
        """Borrowers that are not among those to `keep` use nothing any more; told with the next request."""
        hand = self._hands[key]
        for name in [name for name in hand.places if name not in keep]:
            del hand.places[name]
            hand.news.append(f"-{name}")
        if len(hand.news) > 2 * len(hand.places) + 64 and self._counted(hand) == len(hand.news):
            self.begin_list(key, list(hand.places), now)

    def named(self, key: str, name: str) -> bool:
        """Whether a majority of the voters has this borrower: it may be lent to."""
        hand = self._hands[key]
        return hand.listing > 0 and hand.places.get(name, len(hand.news) + 1) <= self._counted(hand)

    def _counted(self, hand: Hand) -> int:
        """Up to which number a majority has the list."""
        voters = self._voters or frozenset()
        counts = sorted((hand.counts.get(voter, 0) for voter in voters), reverse=True)
        return counts[len(voters) // 2] if counts else 0

    def _spread(self, key: str, hand: Hand, now: float) -> Outbox:
        """Name what is new, once what was asked before is with a majority: so many come with one request."""
        if hand.asked == len(hand.news) or self._counted(hand) < hand.asked or self.holds(key, now) is None:
            return []
        return self._seek(key, hand, now)

    def take_unsaved(self) -> dict[str, str]:
        """Whom this voter has granted keys, under which fences, without a note of it.

        These are to be written before the grant goes out; `remembered` is what was read back of them.
        """
        unsaved, self.unsaved = self.unsaved, {}
        return unsaved

    def note(self, key: str) -> str:
        """The newest note of a key, whether it is on disk or about to be written; "": none."""
        return self._saved.get(key, "")

    def unkept(self, holders: dict[str, str]) -> None:
        """These grants could not be written: whoever seeks again has them noted anew."""
        for key, holder in holders.items():
            if self._saved.get(key) == holder:
                del self._saved[key]

    # What a voter does.

    def _on_seek(self, sender: str, seek: Seek, now: float) -> Outbox:
        vote = self._votes[seek.key]
        if seek.fence and seek.fence >= vote.seen:
            # A majority has granted its first request: gateways here are to reach it, even while our word has to wait.
            self._tell(seek.key, sender, now + seek.term, seek.fence)
        if self._may_not_grant(seek):
            return [(sender, Refused(seek.key, seek.token, vote.seen, "", self.terms.again))]
        if now < self._silent_until and not self._granted_before(seek.key, sender):
            left = self._silent_until - now
            return [(sender, Refused(seek.key, seek.token, vote.seen, "", left))]
        if vote.holder not in ("", sender) and now < vote.until:
            left = vote.until - now
            return [(sender, Refused(seek.key, seek.token, vote.seen, vote.holder, left))]
        count, names = self._list(vote, seek, now)
        vote.holder, vote.token = sender, seek.token
        vote.until = now + seek.term + self.terms.margin
        vote.seen = max(vote.seen, seek.fence)
        note = _note(sender, vote.seen)
        if note != self._saved.get(seek.key):
            self._saved[seek.key] = self.unsaved[seek.key] = note
        if seek.fence:
            self._tell(seek.key, sender, now + seek.term, seek.fence)
        return [(sender, Granted(seek.key, seek.token, vote.seen, count, names))]

    def _list(self, vote: Vote, seek: Seek, now: float) -> tuple[int, list[str] | None]:
        """Keep whom a holder names: up to which number; or whom the hand before has named."""
        if seek.partial or (seek.listing < 0 and seek.fence):
            vote.blind_until = max(vote.blind_until, now + self.terms.lasts)
        if seek.listing <= 0:
            return 0, None if now < vote.blind_until or not seek.fence else list(vote.borrowers)
        listing = (seek.fence, seek.listing)
        if listing > vote.listing and seek.base == 0:
            vote.listing, vote.count, vote.borrowers = listing, 0, {}
        if listing != vote.listing:
            return 0, None
        for change in seek.news[vote.count - seek.base :] if vote.count >= seek.base else ():
            if change[:1] == "+":
                vote.borrowers[change[1:]] = None
            else:
                vote.borrowers.pop(change[1:], None)
            vote.count += 1
        return vote.count, None

    def _may_not_grant(self, seek: Seek) -> bool:
        """Whether our word may be counted by an asker that reckons with other voters than there are."""
        if self._voters is not None and self.me not in self._voters:
            return True
        return self.learning or self._changing or 0 <= seek.slot < self._since

    def _granted_before(self, key: str, sender: str) -> bool:
        """Whether an earlier life of this voter can have granted the key to nobody but the sender.

        Its own earlier process has ended, or is the very one that asks.
        """
        return self._remembered is not None and self._remembered.get(key, sender) == sender

    def _on_release(self, sender: str, release: Release, now: float) -> None:
        vote = self._votes[release.key]
        if vote.holder == sender and vote.token >> 32 == release.token >> 32 and vote.token <= release.token:
            vote.holder, vote.until = "", float("-inf")
            if self._hands[release.key].since is None:
                self._hands[release.key].next_at = now
        told = self._told.get(release.key)
        if told is not None and told[0] == sender:
            del self._told[release.key]

    # What a candidate and a holder do.

    def _tend(self, key: str, hand: Hand, who: str | None, live: set[str], now: float) -> Outbox:
        if who == self.me:
            hand.unwanted = None
        elif hand.unwanted is None:
            hand.unwanted = now
        if hand.since is None:
            near = (live | {self.me}) & (self._voters or frozenset())
            if who != self.me or now < hand.next_at or 2 * len(near) <= len(self._voters or ()):
                return []  # without a majority, what few would grant only stands in others' way
            hand.since = now
            return self._seek(key, hand, now)
        end = self._end(hand, hand.fence) if hand.fence else float("-inf")
        if now >= end:
            # No longer held, or not yet. A round gets a short time, as two half-won ones block each other.
            if not hand.held and now < hand.since + self.terms.answer:
                return self._seek(key, hand, now) if now >= hand.next_at else []
            return self._give_up(key, hand, now)
        hand.held = True
        if hand.unwanted is not None and now - hand.unwanted >= self.terms.settle:
            return self._give_up(key, hand, now)
        if now < hand.next_at:
            return []
        out = self._seek(key, hand, now)
        for name in live - (self._voters or frozenset()) - {self.me}:
            out.append((name, Holding(key, hand.fence, end - now)))
        return out

    def _seek(self, key: str, hand: Hand, now: float) -> Outbox:
        hand.token += 1
        token = self._life | hand.token
        hand.sent[token] = (now, hand.fence, hand.listing)
        while len(hand.sent) > 16:
            del hand.sent[next(iter(hand.sent))]
        hand.next_at = now + (self.terms.renew if hand.held else self.terms.again)
        hand.asked = len(hand.news)
        out: Outbox = []
        for voter in sorted(self._voters or ()):
            base = min(hand.counts.get(voter, 0), len(hand.news))
            out.append(
                (
                    voter,
                    Seek(
                        key,
                        token,
                        hand.fence,
                        self.terms.term,
                        self._slot,
                        hand.listing,
                        base,
                        hand.news[base:],
                        now < hand.whole_at,
                    ),
                )
            )
        return out

    def _on_granted(self, sender: str, granted: Granted, now: float) -> Outbox:
        hand = self._hands[granted.key]
        if granted.token not in hand.sent or hand.since is None:
            return []
        when, fence, listing = hand.sent[granted.token]
        sent = when, fence
        hand.seen = max(hand.seen, granted.seen)
        newer = granted.token > hand.newest.get(sender, 0)
        hand.newest[sender] = max(granted.token, hand.newest.get(sender, 0))
        if sent[1] == hand.fence and newer:
            hand.grants[sender] = sent
        if hand.fence and hand.seen > hand.fence:
            return self._take_fence(granted.key, hand, now)
        if not hand.fence and now < self._end(hand, 0):
            return self._take_fence(granted.key, hand, now)
        if sent[1] != hand.fence or not hand.fence or not newer:
            return []
        if listing == 0:
            hand.told[sender] = granted.borrowers
        elif listing == hand.listing:
            # A version before keeps none: its word is all there is.
            hand.counts[sender] = granted.count if granted.count >= 0 else _ALL
        return self._spread(granted.key, hand, now)

    def _on_refused(self, refused: Refused, now: float) -> None:
        hand = self._hands[refused.key]
        hand.seen = max(hand.seen, refused.seen)
        if refused.holder and refused.holder != self.me:
            self._tell(refused.key, refused.holder, now + refused.left, refused.seen)

    def _take_fence(self, key: str, hand: Hand, now: float) -> Outbox:
        above = max(hand.seen, hand.fence) >> RANDOM_BITS
        hand.fence = (above + 1) << RANDOM_BITS | self._rng.getrandbits(RANDOM_BITS)
        hand.grants, hand.held, hand.since = {}, False, now
        hand.told, hand.listing, hand.news, hand.places = {}, 0, [], {}
        hand.counts, hand.asked, hand.whole_at = {}, 0, float("-inf")
        return self._seek(key, hand, now)

    def _give_up(self, key: str, hand: Hand, now: float) -> Outbox:
        if hand.since is None:
            return []
        fresh = Hand()
        fresh.token, fresh.seen, fresh.unwanted = hand.token, hand.seen, hand.unwanted
        fresh.next_at = now + self._rng.uniform(0.1, 1.0) * self.terms.backoff
        self._hands[key] = fresh
        release = Release(key, self._life | hand.token)
        return [(voter, release) for voter in sorted(self._voters or ())]

    def _end(self, hand: Hand, fence: int) -> float:
        """When the majority of grants for this fence runs out; the past, if there is no majority."""
        voters = self._voters or frozenset()
        if not voters:
            return float("-inf")
        times = sorted(when for name, (when, of) in hand.grants.items() if name in voters and of == fence)
        need = len(voters) // 2 + 1
        if len(times) < need:
            return float("-inf")
        return times[-need] + self.terms.term

    # Both.

    def _tell(self, key: str, holder: str, until: float, fence: int) -> None:
        told = self._told.get(key)
        if told is None or fence >= told[2] or until > told[1]:
            self._told[key] = (holder, until, fence)

    def _route(self, out: Outbox, now: float) -> Outbox:
        """Carries out what this controller sends to itself."""
        away: Outbox = []
        for to, message in out:
            if to == self.me:
                away += self.handle(self.me, message, now)
            else:
                away.append((to, message))
        return away


def _note(holder: str, fence: int) -> str:
    return f"{holder} {fence}" if fence else holder


def _holder(note: str) -> tuple[str, int]:
    """The holder and the fence of a note; versions before wrote the holder alone."""
    holder, _, fence = note.partition(" ")
    return holder, int(fence) if fence.isdecimal() else 0
