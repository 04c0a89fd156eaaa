"""Selection of voters: the founders, and changes that add, replace or remove one voter at a time."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from random import Random

from crowseam.consensus.messages import Voter
from crowseam.consensus.records import DurableState, IdentityRecord, Record, SnapshotRecord
from crowseam.consensus.timing import Timing
from crowseam.quorum import majority

_MIN_VOTERS = 3


def assign_identity(
    durable: DurableState, addr: str, seeds: Sequence[str], bootstrap: bool, rng: Random
) -> list[Record]:
    """Assign an id to a machine with an empty disk, modifying `durable`.

    At bootstrap the seeds become the founding voters. Any other machine, including one that lost its disk, gets a
    random id, because promises made under its old id are lost.

    Returns
    -------
    list[Record]
        Records that must be durable before the machine sends a message; empty if it already has an id.
    """
    if durable.id is not None:
        return []
    founders = [Voter(f"genesis/{seed}", seed) for seed in sorted(set(seeds))]
    records: list[Record] = []
    if bootstrap and addr in seeds:
        durable.id = f"genesis/{addr}"
        durable.snapshot = SnapshotRecord(0, b"", founders, 1)
        records.append(durable.snapshot)
    else:
        durable.id = f"{rng.getrandbits(96):024x}"
    records.insert(0, IdentityRecord(durable.id))
    return records


def next_voters(
    voters: Sequence[Voter],
    joining: Collection[Voter],
    leaving: Collection[str],
    silence_s: Callable[[str], float],
    tolerated_failures: int,
    timing: Timing,
) -> list[Voter] | None:
    """Return a better set of voters that is one change away from `voters`, or None if none is needed.

    While a voter is suspected, a newcomer may replace a voter but is not added, because a fourth voter next to a
    failed one would tolerate no further failure.

    Parameters
    ----------
    leaving
        Ids of the voters that asked to leave.
    silence_s
        Seconds since a message last arrived from an address. No change is proposed unless majorities of both the
        old and the new voters have been in contact recently.
    tolerated_failures
        How many simultaneous machine failures the voters have to tolerate.
    """
    just_heard = {newcomer.addr: 0.0 for newcomer in joining}

    def voter_silence_s(voter: Voter) -> float:
        return silence_s(voter.addr)

    def silence_with_newcomers_s(voter: Voter) -> float:
        return just_heard.get(voter.addr, voter_silence_s(voter))

    if not is_majority_heard(voters, voter_silence_s, timing.replace_after_s):
        return None
    ids = {voter.id for voter in voters}
    for newcomer in sorted(joining, key=lambda voter: (voter.addr, voter.id)):
        if newcomer.id in ids and newcomer in voters:
            continue
        replaced = _replaced_by(voters, newcomer, leaving, voter_silence_s, timing)
        if not replaced and any(voter_silence_s(voter) > timing.suspect_after_s for voter in voters):
            continue
        new = sorted([voter for voter in voters if voter not in replaced] + [newcomer])
        if is_majority_heard(new, silence_with_newcomers_s, timing.replace_after_s):
            return new
    return _without_one_voter(voters, leaving, voter_silence_s, tolerated_failures, timing)


def _without_one_voter(
    voters: Sequence[Voter],
    leaving: Collection[str],
    voter_silence_s: Callable[[Voter], float],
    tolerated_failures: int,
    timing: Timing,
) -> list[Voter] | None:
    """Return the voters without one that is leaving or has failed, if enough remain."""
    removable = [voter for voter in voters if voter.id in leaving or voter_silence_s(voter) > timing.evict_after_s]
    if not removable or len(voters) <= minimum_voters(tolerated_failures):
        return None
    removed = max(removable, key=lambda voter: (voter_silence_s(voter), voter))
    new = sorted(voter for voter in voters if voter != removed)
    return new if is_majority_heard(new, voter_silence_s, timing.replace_after_s) else None


def minimum_voters(tolerated_failures: int) -> int:
    """Return the number of voters below which none is removed without a replacement."""
    return max(_MIN_VOTERS, 2 * tolerated_failures + 1)


def _replaced_by(
    voters: Sequence[Voter],
    newcomer: Voter,
    leaving: Collection[str],
    voter_silence_s: Callable[[Voter], float],
    timing: Timing,
) -> list[Voter]:
    """Return the voters that the newcomer replaces: its own earlier incarnation, or a failed or leaving voter.

    A leaving voter still votes, so it is not replaced while another voter is suspected: the newcomer is then needed
    to replace the suspected one.
    """
    same_machine = [voter for voter in voters if voter.id == newcomer.id or voter.addr == newcomer.addr]
    if same_machine:
        return same_machine
    replaceable = [voter for voter in voters if voter_silence_s(voter) > timing.replace_after_s]
    staying = [voter for voter in voters if voter.id not in leaving]
    if not replaceable and not any(voter_silence_s(voter) > timing.suspect_after_s for voter in staying):
        replaceable = [voter for voter in voters if voter.id in leaving]
    return [max(replaceable, key=lambda voter: (voter_silence_s(voter), voter))] if replaceable else []


def is_majority_heard(voters: Sequence[Voter], voter_silence_s: Callable[[Voter], float], max_silence_s: float) -> bool:
    """Whether messages arrived from a majority of the voters in the last `max_silence_s`."""
    heard = sum(voter_silence_s(voter) <= max_silence_s for voter in voters)
    return heard >= majority(len(voters))


def proposer_rank(voters: Sequence[Voter], me: Voter, silence_s: Callable[[str], float], max_silence_s: float) -> int:
    """Return how many reachable voters precede `me` in the order of addresses."""
    return sum(voter.addr < me.addr and silence_s(voter.addr) <= max_silence_s for voter in voters)
