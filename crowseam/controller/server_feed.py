"""Keeps gateways up to date with the servers: changes of the registry, silent servers and ejected servers."""

from __future__ import annotations

from collections.abc import Mapping
from math import inf
from typing import Protocol

from crowseam import logs
from crowseam.controller.peers import Peers
from crowseam.discovery.server_record import ServerRecord
from crowseam.discovery.service_registry import ServiceRegistry
from crowseam.membership.outliers import OutlierDetector
from crowseam.transport.links import Link, frame
from crowseam.transport.messages import EjectedServers, Message, OutlierReport, ServerUpdate, SilentServers


class RegistryFollower(Protocol):
    """A session, as used here: its link, its gateway, and how far the gateway has followed the registry."""

    link: Link
    gateway: str
    registry_position: int


class FollowerTable(Protocol):
    """The sessions, as used here."""

    @property
    def sessions(self) -> Mapping[str, RegistryFollower]:
        """Return the sessions, by gateway."""
        ...

    def broadcast(self, message: Message) -> None:
        """Send a message to each gateway with a session here."""


class ServerFeed:
    """Sends gateways the registry and its changes. Times are seconds of the monotonic clock."""

    def __init__(self, registry: ServiceRegistry, peers: Peers, followers: FollowerTable) -> None:
        self.registry = registry
        self.peers = peers
        self.followers = followers
        self.silent: list[str] = []  # servers without a recent heartbeat
        self.ejected: list[str] = []
        self.outliers = OutlierDetector()
        self._was_majority_reachable = False
        self._majority_reachable_since = -inf  # when it was last regained; inf while it is lost

    def send_all(self, session: RegistryFollower, registry: str, position: int, now: float) -> bool:
        """Send a new session the changes since a position, or all servers; return whether it was sent all."""
        changes = self.registry.changes_since(registry, position, now)
        incarnation, session.registry_position = self.registry.position
        session.link.send(
            self._update(incarnation, session.registry_position, changes, now),
            SilentServers(self.silent),
            EjectedServers(self.ejected),
        )
        return changes is None

    def push_changes(self, now: float) -> None:
        """Send each gateway the changes of the registry since its last update."""
        incarnation, position = self.registry.position
        frames: dict[int, bytes] = {}
        for session in self.followers.sessions.values():
            known_position = session.registry_position
            if known_position >= position:
                continue
            if known_position not in frames:
                changes = self.registry.changes_since(incarnation, known_position, now)
                frames[known_position] = frame(self._update(incarnation, position, changes, now))
            session.link.write(frames[known_position])
            session.registry_position = position

    def _update(self, incarnation: str, position: int, changes: list[ServerRecord] | None, now: float) -> ServerUpdate:
        """Return a message with the changes, or with all servers if `changes` is None."""
        records = self.registry.snapshot(now) if changes is None else changes
        return ServerUpdate(incarnation, position, changes is None, records)

    def check_silence(self, now: float, silent_after_s: float) -> None:
        """Expire servers, and tell the gateways when the set of servers that were silent for `silent_after_s` changes.

        A server is added to the set only after a majority was reachable for as long. Until then, this controller may
        have been partitioned, and the servers may have reported to others.
        """
        if self.registry.expire(now):
            self.push_changes(now)
        silent = self.registry.silent(now, silent_after_s)
        if self.peers.is_majority_reachable(now):
            self._was_majority_reachable = True
            if self._majority_reachable_since == inf:
                self._majority_reachable_since = now
        elif self._was_majority_reachable:
            self._majority_reachable_since = inf
        if now - self._majority_reachable_since < silent_after_s:
            silent = [ident for ident in silent if ident in self.silent]
        self._set_silent(silent)

    def _set_silent(self, silent: list[str]) -> None:
        if silent != self.silent:
            self.silent = silent
            self.followers.broadcast(SilentServers(silent))

    # Outliers

    def on_gateway_report(self, session: RegistryFollower, report: OutlierReport, now: float) -> None:
        """Handle request outcomes that a gateway here has observed, and forward them to all controllers."""
        self.outliers.report(session.gateway, report.outcomes, now)
        self.peers.broadcast(OutlierReport(session.gateway, report.outcomes))
        self.check_outliers(now)

    def on_forwarded_report(self, _: str, report: OutlierReport, now: float) -> None:
        """Handle request outcomes that a gateway of another controller has observed."""
        self.outliers.report(report.gateway, report.outcomes, now)
        self.check_outliers(now)

    def check_outliers(self, now: float) -> None:
        """Tell the gateways when the set of ejected servers changes."""
        ejected = self.outliers.ejected(self.registry.service_of, self.registry.size_of, now)
        if ejected != self.ejected:
            logs.emit("servers_ejected", servers=",".join(ejected))
            self.ejected = ejected
            self.followers.broadcast(EjectedServers(ejected))
