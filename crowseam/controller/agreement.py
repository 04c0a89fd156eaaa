"""Runs the consensus node: sends its messages, writes its records and answers the calls that wait for it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import assert_never

from crowseam import clock, logs
from crowseam.configuration.errors import ConfigurationError
from crowseam.configuration.model import Change
from crowseam.configuration.text import version_text
from crowseam.consensus import messages as consensus
from crowseam.consensus.effects import CompleteRequest, Effect, NotifyApplied, Persist, Send
from crowseam.consensus.node import Node
from crowseam.consensus.outcomes import Committed, ReadReady
from crowseam.controller.durable_state import ControllerStore
from crowseam.controller.pending_calls import PendingCalls, error_body, reply_unavailable
from crowseam.controller.state_machine import (
    AlreadyApplied,
    ConfigurationStateMachine,
    OutcomeForgotten,
    UnknownParent,
)
from crowseam.transport.http import Call
from crowseam.transport.messages import Message

TICK_INTERVAL_S = 0.05  # between calls of `tick`; a timer is set for anything due sooner
CHANGE_TIMEOUT_S = 0.85  # shorter than the one second after which callers try another controller
READ_TIMEOUT_S = 0.85
_MIN_DELAY_S = 0.001
_RETRY_AFTER = (("Retry-After", "0.2"),)


class Agreement:
    """Connects the consensus node with the network, the disk and the control API.

    `post(addr, message)` sends a message. `on_applied(applied)` is called with each chosen slot, in order.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        node: Node,
        machine: ConfigurationStateMachine,
        store: ControllerStore,
        pending_calls: PendingCalls,
        post: Callable[[str, Message], None],
        on_applied: Callable[[NotifyApplied], None],
    ) -> None:
        self.loop = loop
        self.node = node
        self.machine = machine
        self.store = store
        self.pending_calls = pending_calls
        self.post = post
        self.on_applied = on_applied

    def on_message(self, addr: str, message: consensus.Message, now: float) -> None:
        """Handle a consensus message from another controller, or from this controller to itself."""
        self._execute(self.node.handle(addr, message, now))

    def observe_slot(self, addr: str, last_slot: int, now: float) -> None:
        """Record that another controller knows the log up to `last_slot`."""
        self._execute(self.node.observe_slot(addr, last_slot, now))

    def tick(self, now: float) -> None:
        """Run the node's timers if they are due; to be called every `TICK_INTERVAL_S`."""
        if now >= self.node.next_tick:
            self._execute(self.node.tick(now))
        else:
            self._schedule()

    def leave(self, now: float) -> None:
        """Ask the other voters to remove this controller, which is stopping."""
        self._execute(self.node.leave(now))

    def read(self, call: Call, now: float) -> None:
        """Answer with a linearizable read: a configuration at least as new as any acknowledged before the call."""
        self._execute(self.node.read(self.pending_calls.add(call), now, READ_TIMEOUT_S))

    def change(self, call: Call, change: Change, proposal_id: str, now: float) -> None:
        """Propose a change under a unique id; the call is answered with the outcome."""
        logs.emit("change_received", ver=version_text(change.ver), parent=version_text(change.parent))

        def build(machine: ConfigurationStateMachine) -> object:
            return machine.propose(change, proposal_id)

        self._execute(self.node.submit(self.pending_calls.add(call), build, now, CHANGE_TIMEOUT_S))

    def _execute(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send(addr=addr, message=message):
                    self.post(addr, message)
                case Persist():
                    self._persist(effect)
                case NotifyApplied():
                    self.on_applied(effect)
                case CompleteRequest():
                    self._complete(effect)
                case _:
                    assert_never(effect)
        self._schedule()

    def _schedule(self) -> None:
        # Requests must time out punctually, because callers try another controller soon after.
        delay = self.node.next_tick - clock.monotonic()
        if delay < TICK_INTERVAL_S:
            self.loop.call_later(max(_MIN_DELAY_S, delay), self._on_timer)

    def _on_timer(self) -> None:
        self.tick(clock.monotonic())

    def _persist(self, persist: Persist) -> None:
        def done(ok: bool) -> None:
            if ok:
                self._execute(persist.then)
            else:
                self.node.persist_failed(persist, clock.monotonic())

        self.store.write(persist.records, done)

    def _complete(self, completed: CompleteRequest) -> None:
        call = self.pending_calls.take(completed.request_id)
        if call is None:
            return
        outcome = completed.outcome
        match outcome:
            case Committed() | AlreadyApplied():
                call.reply(HTTPStatus.OK, b"{}")
            case ReadReady():
                call.reply(HTTPStatus.OK, self.machine.config.dump())
            case ConfigurationError():
                logs.emit("change_rejected", status=outcome.status, reason=outcome)
                call.reply(outcome.status, error_body(str(outcome)))
            case OutcomeForgotten():
                # The change may or may not have been applied, so neither a rejection nor an acknowledgement is safe.
                logs.emit("change_outcome_unknown")
                body = error_body("whether this change was taken is not remembered")
                call.reply(HTTPStatus.SERVICE_UNAVAILABLE, body)
            case UnknownParent():
                current, parent = version_text(outcome.current), version_text(outcome.parent)
                logs.emit("parent_unknown", current=current, parent=parent)
                reply_unavailable(call, f"version {current} is current, and {parent} is not known yet")
            case _:
                body = error_body("no majority has answered in time")
                call.reply(HTTPStatus.SERVICE_UNAVAILABLE, body, fields=_RETRY_AFTER)
