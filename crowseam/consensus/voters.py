"""Who votes: the founders, and how one machine at a time is let in or struck off."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from random import Random

from crowseam.consensus.messages import Voter
from crowseam.consensus.records import Durable, Identity, Record, Saved


def settle(durable: Durable, addr: str, seeds: Sequence[str], bootstrap: bool, rng: Random) -> list[Record]:
    """Give a machine with an empty disk its id, changing `durable`.

    At the first start the seeds are the founders. Anyone else, and anyone who lost its disk, draws a new
    id, since its old name made promises that it no longer knows.

    Returns the records to be on disk before the machine says anything; empty if it has an id.
    """
    if durable.id is not None:
        return []
    founders = [Voter(f"genesis/{seed}", seed) for seed in sorted(set(seeds))]
    records: list[Record] = []
    if bootstrap and addr in seeds:
        durable.id = f"genesis/{addr}"
        durable.saved = Saved(0, b"", founders, 1)
        records.append(durable.saved)
    else:
        durable.id = f"{rng.getrandbits(96):024x}"
    records.insert(0, Identity(durable.id))
    return records


def propose(
    voters: Sequence[Voter],
    joining: Collection[Voter],
    leaving: Collection[str],
    silence: Callable[[str], float],
    survive: int,
    sure: float,
    replace_after: float,
    evict_after: float,
) -> list[Voter] | None:
    """The next set of voters, one change away from `voters`, or None if it is right as it is.

    `leaving` holds ids; `silence` gives the seconds since an address was last heard. Nothing is
    proposed unless majorities of the old and of the new voters are within earshot. A voter that is silent
    for longer than `sure` may be gone: nobody is added meanwhile, for a fourth voter beside a dead one
    would leave no loss to be borne.
    """
    just_heard = {newcomer.addr: 0.0 for newcomer in joining}

    def quiet(voter: Voter) -> float:
        return silence(voter.addr)

    if not alive(voters, quiet, replace_after):
        return None
    ids = {voter.id for voter in voters}
    for newcomer in sorted(joining, key=lambda voter: (voter.addr, voter.id)):
        if newcomer.id in ids and newcomer in voters:
            continue
        going = _place_of(voters, newcomer, leaving, quiet, sure, replace_after)
        if not going and any(quiet(voter) > sure for voter in voters):
            continue
        new = sorted([voter for voter in voters if voter not in going] + [newcomer])
        if alive(new, lambda voter: just_heard.get(voter.addr, quiet(voter)), replace_after):
            return new
    gone = [v for v in voters if v.id in leaving or quiet(v) > evict_after]
    if gone and len(voters) > least(survive):
        worst = max(gone, key=lambda voter: (quiet(voter), voter))
        new = sorted(voter for voter in voters if voter != worst)
        if alive(new, quiet, replace_after):
            return new
    return None


def least(survive: int) -> int:
    """How many voters stay at least, with `survive` machines that may be lost at once."""
    return max(3, 2 * survive + 1)


def _place_of(
    voters: Sequence[Voter],
    newcomer: Voter,
    leaving: Collection[str],
    quiet: Callable[[Voter], float],
    sure: float,
    replace_after: float,
) -> list[Voter]:
    """The voters whose place the newcomer takes: its own former self, one that is silent, one that leaves.

    One that leaves still votes: it is not given up while another may be gone, for the newcomer is to take
    the place of that one.
    """
    same = [voter for voter in voters if voter.id == newcomer.id or voter.addr == newcomer.addr]
    if same:
        return same
    useless = [voter for voter in voters if quiet(voter) > replace_after]
    if not useless and not any(quiet(voter) > sure for voter in voters if voter.id not in leaving):
        useless = [voter for voter in voters if voter.id in leaving]
    return [max(useless, key=lambda voter: (quiet(voter), voter))] if useless else []


def alive(voters: Sequence[Voter], quiet: Callable[[Voter], float], limit: float) -> bool:
    """Whether a majority of the voters was heard within the last `limit` seconds."""
    return 2 * sum(quiet(voter) <= limit for voter in voters) > len(voters)


def rank(voters: Sequence[Voter], me: Voter, silence: Callable[[str], float], limit: float) -> int:
    """How many voters within earshot come before `me` in the order of addresses."""
    return sum(voter.addr < me.addr and silence(voter.addr) <= limit for voter in voters)
