"""The sessions of gateways with this controller, and the record of gateways that may hold leases."""

from __future__ import annotations

from crowseam import logs
from crowseam.configuration.text import version_text
from crowseam.consensus.effects import NotifyApplied
from crowseam.consensus.messages import ConfigurationEntry, SnapshotChunkRequest, VotersEntry
from crowseam.controller.configuration_feed import ConfigurationFeed, LogFollower
from crowseam.controller.durable_state import COMPLETE_MEMBERS_KEY
from crowseam.controller.peers import Peers
from crowseam.controller.server_feed import ServerFeed
from crowseam.controller.state_machine import ConfigurationStateMachine
from crowseam.discovery.service_registry import ServiceRegistry
from crowseam.membership.sessions import SessionTable
from crowseam.quotas.known_borrowers import KnownBorrowers
from crowseam.storage.records import Member, Note
from crowseam.transport.links import Link, frame
from crowseam.transport.messages import (
    CloseSession,
    FollowingLog,
    Message,
    OpenSession,
    OutlierReport,
    SessionHeartbeat,
    SessionOpened,
)
from crowseam.transport.protocol_check import ProtocolCheck

RECENT_MEMBER_S = 120.0  # how long the time when a gateway was last a member is kept
LEASE_LIFETIME_S = 9.0  # how long a gateway may hold a lease after it was last a member


class GatewaySession:
    """A gateway's session with this controller.

    `incarnation` identifies the gateway's process, `number` the session within it. `registry_position` and `log` say
    how far the gateway has followed the registry and the log.
    """

    __slots__ = ("gateway", "incarnation", "link", "log", "number", "registry_position")

    def __init__(self, link: Link, message: OpenSession) -> None:
        self.link = link
        self.gateway = message.gateway
        self.incarnation = message.incarnation
        self.number = message.session_number
        self.registry_position = -1
        self.log = LogFollower(link, -1, message.accepts_chunks)


class GatewaySessions:
    """The gateways that follow this controller. Times are seconds of the monotonic clock.

    `stored_members` are the gateways that might hold a lease before the start, as read from the disk;
    `has_complete_members` says that there are no others.
    """

    def __init__(
        self,
        registry: ServiceRegistry,
        session_table: SessionTable,
        machine: ConfigurationStateMachine,
        peers: Peers,
        stored_members: set[str],
        has_complete_members: bool,
        now: float,
    ) -> None:
        self.session_table = session_table
        self.machine = machine
        self.peers = peers
        self.node = peers.node
        self.sessions: dict[str, GatewaySession] = {}
        self.protocol_check = ProtocolCheck()
        self.configuration_feed = ConfigurationFeed(self.node, machine)
        self.server_feed = ServerFeed(registry, peers, self)
        self.borrowers = KnownBorrowers(stored_members, has_complete_members, now, LEASE_LIFETIME_S)
        self.last_seen = dict.fromkeys(stored_members, now)  # time when each gateway was last a member
        self._stored_members = stored_members
        self._stored_completeness: bool | None = None  # the stored value of whether these are all; None: not known

    # Sessions

    def open(self, link: Link, message: OpenSession, now: float) -> None:
        """Open a session, replacing any earlier one of the gateway, and send it the current state."""
        if not self.protocol_check.matches(message.gateway, message.protocol):
            # The answer has our version; the gateway logs the mismatch and tries another controller.
            link.send(SessionOpened(self.peers.me, [], self.protocol_check.ours))
            link.close_when_flushed()
            return
        link.peer = message.gateway
        earlier = self.sessions.get(message.gateway)
        session = self.sessions[message.gateway] = GatewaySession(link, message)
        if earlier is not None:
            earlier.link.close()
        incarnation = str(message.incarnation)
        self.session_table.open(message.gateway, incarnation, now, message.session_number, message.az)
        controllers = [self.peers.me, *self.peers.recently_heard(now)]
        link.send(SessionOpened(self.peers.me, controllers, self.protocol_check.ours))
        # Servers first: a large configuration takes a while, and requests must not go to servers that have left.
        was_sent_all = self.server_feed.send_all(session, message.registry, message.position, now)
        session.log.slot = message.slot
        self.configuration_feed.catch_up(session.log)
        link.send(self._heartbeat(now))
        logs.emit("session_opened", gateway=message.gateway, slot=message.slot, complete=was_sent_all)

    def session_of(self, link: Link) -> GatewaySession | None:
        """Return the session on this link."""
        session = self.sessions.get(link.peer)
        return session if session is not None and session.link is link else None

    def on_link_ended(self, link: Link, now: float) -> bool:
        """Close the session on a link that has ended; return whether there was one."""
        session = self.session_of(link)
        if session is None:
            return False
        del self.sessions[link.peer]
        self.session_table.close(session.gateway, str(session.incarnation), now)
        logs.emit("session_closed", gateway=session.gateway)
        return True

    def on_close(self, session: GatewaySession, _: CloseSession, now: float) -> None:
        """Handle the notice that a gateway stops; it is no longer a member."""
        self.session_table.close(session.gateway, str(session.incarnation), now, is_leaving=True)

    def expire(self, now: float) -> None:
        """Close the sessions of gateways that have not reported for too long."""
        for gateway in self.session_table.tick(now):
            session = self.sessions.pop(gateway, None)
            if session is not None:
                logs.emit("session_expired", gateway=gateway)
                session.link.close()

    def unsaved(self, now: float) -> list[Member | Note]:
        """Return the changes to save in the gateways that may hold a lease, and consider them saved."""
        members = self.session_table.members(now)
        self.borrowers.record(members, now)
        self.last_seen = {
            gateway: seen_at for gateway, seen_at in self.last_seen.items() if now - seen_at < RECENT_MEMBER_S
        }
        self.last_seen.update(dict.fromkeys(members, now))
        recent = self.borrowers.recent(now)
        records: list[Member | Note] = [Member(gateway, b"") for gateway in recent - self._stored_members]
        records += [Member(gateway, None) for gateway in self._stored_members - recent]
        self._stored_members = recent
        is_complete = self.borrowers.known(now) is not None
        if is_complete != self._stored_completeness:
            self._stored_completeness = is_complete
            records.append(Note(COMPLETE_MEMBERS_KEY, b"1" if is_complete else None))
        return records

    # The configuration

    def on_applied(self, applied: NotifyApplied) -> None:
        """Send a chosen log entry to the gateways."""
        entry = applied.entry
        if isinstance(entry, ConfigurationEntry):
            logs.emit("change_applied", slot=applied.slot, ver=version_text(entry.ver))
        elif entry is None:
            logs.emit("snapshot_installed", slot=applied.slot, ver=version_text(self.machine.config.ver))
        elif isinstance(entry, VotersEntry):
            logs.emit("voters_changed", slot=applied.slot, voters=",".join(voter.addr for voter in entry.voters))
        followers = [session.log for session in self.sessions.values()]
        self.configuration_feed.send_entry(followers, applied.slot, entry)

    def on_chunk_request(self, session: GatewaySession, request: SnapshotChunkRequest, now: float) -> None:
        """Answer the request of a gateway for a chunk of a large configuration."""
        self.configuration_feed.on_chunk_request(session.log, request, now)

    def on_following(self, session: GatewaySession, message: FollowingLog, _: float) -> None:
        """Handle the notice that a gateway has finished or abandoned a download."""
        self.configuration_feed.on_following(session.log, message)

    # Servers

    def on_outlier_report(self, session: GatewaySession, report: OutlierReport, now: float) -> None:
        """Handle request outcomes by server, as a gateway here has observed them."""
        self.server_feed.on_gateway_report(session, report, now)

    # All sessions

    def send_heartbeats(self, now: float) -> None:
        """Send a heartbeat to each gateway."""
        # The same message for all sessions, because counting the members iterates over all of them.
        self.broadcast(self._heartbeat(now))
        for session in self.sessions.values():
            if session.log.is_behind:
                self.configuration_feed.catch_up(session.log)

    def _heartbeat(self, now: float) -> SessionHeartbeat:
        members = self.session_table.count(now)
        return SessionHeartbeat(members, self.node.last_slot, self.peers.is_current(now))

    def broadcast(self, message: Message) -> None:
        """Send a message to each gateway with a session here."""
        data = frame(message)
        for session in self.sessions.values():
            session.link.write(data)

    def forward(self, gateway: str, message: Message) -> None:
        """Send a message to one gateway; it is lost if the gateway has no session here."""
        session = self.sessions.get(gateway)
        if session is not None:
            session.link.send(message)
