"""Exhaustive exploration of a small case: all event orders of two concurrent changes among three voters."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from types import MethodType
from typing import Any

import msgspec

from crowseam.consensus.effects import CompleteRequest, Effect, Persist, Send
from crowseam.consensus.messages import (
    Accept,
    Accepted,
    ChosenBallot,
    ChosenEntries,
    Entry,
    Prepare,
    Promise,
    QuorumRead,
    Reject,
    Voter,
    decode,
    encode,
)
from crowseam.consensus.node import Node
from crowseam.consensus.outcomes import Committed
from crowseam.consensus.quorum_round import QuorumRound
from crowseam.consensus.records import IdentityRecord, SlotVote, SnapshotRecord
from crowseam.consensus.timing import Timing
from crowseam.model_checks.agreement.world import ChangeRequest, Disk, ModelStateMachine


class Exploration(msgspec.Struct):
    """Result of `explore`: the number of states visited, and whether all within the bounds were visited."""

    depth: int = 0
    states: int = 0
    complete: bool = False
    decided: int = 0
    violations: list[str] = msgspec.field(default_factory=list)


class _State:
    """Nodes, their disks and clocks, the messages in flight, the remaining faults and the committed requests."""

    __slots__ = ("nodes", "disks", "clocks", "in_flight", "remaining", "committed")

    def __init__(self, nodes, disks, clocks, in_flight, remaining, committed) -> None:
        self.nodes: tuple[Node, ...] = nodes
        self.disks: tuple[Disk, ...] = disks
        self.clocks: tuple[float, ...] = clocks
        self.in_flight: tuple[tuple[int, int, bytes], ...] = in_flight
        self.remaining: tuple[int, int, int] = remaining
        self.committed: frozenset = committed

    def key(self) -> bytes:
        """Identifies the state; clocks are left out because they follow from the events."""
        parts = [
            (
                node.last_slot,
                sorted(node._acceptor.votes.items()),
                node._proposer._ballots.highest_round,
                node._proposer.round and _round_key(node._proposer.round),
                [
                    (each.request_id, each.is_confirmed, sorted(each.proposal_ids), each.proposed_slot)
                    for each in node._requests
                ],
            )
            for node in self.nodes
        ]
        return msgspec.msgpack.encode((parts, self.in_flight, self.remaining, sorted(self.committed)))


def _round_key(current: QuorumRound) -> tuple:
    return (
        current.message,
        sorted(current.replies),
        sorted(current.rejected_by),
        sorted(reply.accepted for reply in current.replies.values() if getattr(reply, "accepted", 0)),
    )


class _FixedRandom:
    """Deterministic replacement of the random generator."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation

    def getrandbits(self, bits: int) -> int:
        return self.incarnation

    def uniform(self, low: float, high: float) -> float:
        return (low + high) / 2

    def choice(self, items: list) -> Any:
        return items[0]


class _Explorer:
    _ADDRS = ("a", "b", "c")
    _TIMING = Timing(
        poll_interval_s=1e9, join_interval_s=1e9, request_timeout_s=1e9, evict_after_s=1e9, replace_after_s=1e9
    )

    def __init__(self, node_class: type[Node], limit: int) -> None:
        self.node_class = node_class
        self.limit = limit
        self.result = Exploration()
        self.voters = [Voter(f"genesis/{addr}", addr) for addr in self._ADDRS]

    def _start_node(self, index: int, disk: Disk, incarnation: int) -> Node:
        node = self.node_class(
            self.voters[index], disk.load(), ModelStateMachine(), _FixedRandom(incarnation), self._TIMING
        )
        node._catch_up.next_poll_at = 1e9
        return node

    def start(self, remaining: tuple[int, int, int]) -> _State:
        disks = tuple(Disk() for _ in self._ADDRS)
        for voter, disk in zip(self.voters, disks, strict=True):
            disk.write([IdentityRecord(voter.id), SnapshotRecord(0, b"", self.voters, 1)])
        nodes = tuple(self._start_node(index, disk, 0) for index, disk in enumerate(disks))
        state = _State(nodes, disks, (0.0,) * 3, (), remaining, frozenset())
        for index, ver in ((0, 1), (1, 2)):
            builder = ChangeRequest(ver, 0).builder(f"t{ver}")
            state = self._step(state, index, lambda node, builder=builder, ver=ver: node.submit(ver, builder, 0.0))
        return state

    def _step(self, state: _State, index: int, action: Callable[[Node], list[Effect]], **new: Any) -> _State:
        """The state after node `index` ran `action`, synced its writes and handled its messages to itself."""
        node, disk = _deep_copy(state.nodes[index]), Disk()
        disk.content = state.disks[index].load()
        in_flight, committed = list(new.get("in_flight", state.in_flight)), set(state.committed)
        effects = action(node)
        while effects:
            effect = effects.pop(0)
            match effect:
                case Send(addr=addr, message=message) if addr == self._ADDRS[index]:
                    effects += node.handle(addr, message, node._context.now)
                case Send(addr=addr, message=message):
                    if not isinstance(message, QuorumRead):
                        in_flight.append((index, self._ADDRS.index(addr), encode(message)))
                case Persist():
                    disk.write(effect.records)
                    effects += effect.then
                case CompleteRequest(request_id=request_id, outcome=Committed()):
                    committed.add(request_id)
        return _State(
            _replace_at(state.nodes, index, node),
            _replace_at(state.disks, index, disk),
            new.get("clocks", state.clocks),
            tuple(sorted(each for each in in_flight if each[1] != index or not _is_obsolete(node, each[2]))),
            new.get("remaining", state.remaining),
            frozenset(committed),
        )

    def _successors(self, state: _State) -> Iterable[_State]:
        losses, timers, crashes = state.remaining
        for position, (sender_index, index, data) in enumerate(state.in_flight):
            if position and state.in_flight[position - 1] == state.in_flight[position]:
                continue
            rest = state.in_flight[:position] + state.in_flight[position + 1 :]
            message, sender, now = decode(data), self._ADDRS[sender_index], state.clocks[index]
            yield self._step(state, index, lambda n, m=message, s=sender, t=now: n.handle(s, m, t), in_flight=rest)
            if losses:
                remaining = (losses - 1, timers, crashes)
                yield _State(state.nodes, state.disks, state.clocks, rest, remaining, state.committed)
        for index in range(3) if timers else ():
            clocks = _replace_at(state.clocks, index, state.clocks[index] + 0.9)
            remaining = (losses, timers - 1, crashes)
            yield self._step(state, index, lambda n, t=clocks[index]: n.tick(t), clocks=clocks, remaining=remaining)
        for index in range(3) if crashes else ():
            node = self._start_node(index, state.disks[index], crashes)
            remaining = (losses, timers, crashes - 1)
            yield self._step(
                _State(
                    _replace_at(state.nodes, index, node),
                    state.disks,
                    state.clocks,
                    state.in_flight,
                    remaining,
                    state.committed,
                ),
                index,
                lambda n, t=state.clocks[index]: n.tick(t),
            )

    def run(self, depth: int, remaining: tuple[int, int, int]) -> Exploration:
        result, start = self.result, self.start(remaining)
        layer, seen = [start], {hash(start.key())}
        while layer:
            next_layer = []
            for state in layer:
                result.states += 1
                result.decided += bool(state.committed)
                violation = self._find_violation(state)
                if violation:
                    result.violations.append(f"after {result.depth} events: {violation}")
                    return result
                if result.states >= self.limit:
                    return result
                # Once all nodes have learned the entry of the slot, it cannot change any more.
                if result.depth == depth or all(node.last_slot for node in state.nodes):
                    continue
                for successor in self._successors(state):
                    key = hash(successor.key())
                    if key not in seen:
                        seen.add(key)
                        next_layer.append(successor)
            layer = next_layer
            result.depth += bool(layer)
        result.complete = True
        return result

    def _find_violation(self, state: _State) -> str | None:
        if len(state.committed) > 1:
            return "two changes with one parent were committed"
        chosen: dict[int, Entry] = {}
        for node in state.nodes:
            for slot, entry in enumerate(node.entries_from(node.first_slot) or (), node.first_slot):
                if chosen.setdefault(slot, entry) != entry:
                    return f"slot {slot} has two entries"
        return None


def explore(
    depth: int = 40,
    losses: int = 0,
    timers: int = 1,
    crashes: int = 0,
    limit: int = 1000000,
    node_class: type[Node] = Node,
) -> Exploration:
    """Explore all orders of the first `depth` events of two concurrent changes with one parent among three voters.

    `losses`, `timers` and `crashes` bound the lost messages, expired timers and crashes of each path. Messages may
    be delayed arbitrarily. The loss of an unsynced write is equivalent to the loss of the message that caused it.
    Stops after `limit` states.
    """
    return _Explorer(node_class, limit).run(depth, (losses, timers, crashes))


def _is_obsolete(node: Node, data: bytes) -> bool:
    """Whether `node` ignores this message now and at any later time."""
    message, current = decode(data), node._proposer.round
    if isinstance(message, ChosenBallot | ChosenEntries):
        return node.last_slot >= message.slot
    if isinstance(message, Reject):
        return node.last_slot >= message.slot
    if isinstance(message, Promise | Accepted):
        kind = Prepare if isinstance(message, Promise) else Accept
        return current is None or current.ballot != message.ballot or not isinstance(current.message, kind)
    return False


def _replace_at(items: tuple, index: int, item: Any) -> tuple:
    return (*items[:index], item, *items[index + 1 :])


def _deep_copy(value: Any, copies: dict[int, Any] | None = None) -> Any:
    """Copy everything that a node may modify; objects shared by its parts are shared by the copies too."""
    copies = {} if copies is None else copies
    if id(value) in copies:
        return copies[id(value)]
    if isinstance(value, dict):
        return {key: _deep_copy(item, copies) for key, item in value.items()}
    if isinstance(value, list):
        return [_deep_copy(item, copies) for item in value]
    if isinstance(value, set):
        return set(value)
    if isinstance(value, SlotVote):
        return SlotVote(value.promised, value.accepted, value.entry)
    if isinstance(value, MethodType):
        return MethodType(value.__func__, _deep_copy(value.__self__, copies))
    if isinstance(value, ModelStateMachine) or (_belongs_to_consensus(value) and not isinstance(value, msgspec.Struct)):
        copies[id(value)] = copy = object.__new__(type(value))
        vars(copy).update((name, _deep_copy(item, copies)) for name, item in vars(value).items())
        return copy
    return value


def _belongs_to_consensus(value: Any) -> bool:
    return any(base.__module__.startswith("crowseam.consensus.") for base in type(value).__mro__)
