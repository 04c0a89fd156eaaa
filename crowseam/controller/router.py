"""Routing of messages to handlers by their type."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Generic, TypeVar

SenderT = TypeVar("SenderT")
MessageT = TypeVar("MessageT")


class MessageRouter(Generic[SenderT]):
    """Passes each message to the handler of its type, with the sender and the time (monotonic clock, s)."""

    def __init__(self) -> None:
        self._handlers: dict[type, Callable[[SenderT, Any, float], None]] = {}

    def add(self, message_type: type[MessageT], handler: Callable[[SenderT, MessageT, float], None]) -> None:
        """Register the handler of a message type."""
        self._handlers[message_type] = handler

    def add_all(self, message_types: Iterable[type], handler: Callable[[SenderT, Any, float], None]) -> None:
        """Register one handler for several message types."""
        for message_type in message_types:
            self._handlers[message_type] = handler

    def dispatch(self, sender: SenderT, message: object, now: float) -> bool:
        """Handle a message; return False if its type has no handler, as with a sender of a newer version."""
        handler = self._handlers.get(type(message))
        if handler is None:
            return False
        handler(sender, message, now)
        return True
