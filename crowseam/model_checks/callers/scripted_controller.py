"""The scripted controller of the gateway in the model check of callers."""

from __future__ import annotations

from crowseam.discovery.server_record import ServerRecord
from crowseam.model_checks.callers.scripted_world import (
    CONTROLLER,
    SERVERS,
    TENANTS,
    ScriptedWorld,
    configuration,
)
from crowseam.quotas.lease_messages import SHARE_UNITS, QuotaLease
from crowseam.quotas.shards import shard_of
from crowseam.transport.codec import encode, pack
from crowseam.transport.links import Link
from crowseam.transport.messages import (
    PROTOCOL_VERSION,
    ConfigurationState,
    GatewayReport,
    LeaseUpdate,
    Message,
    OpenSession,
    ReserveDraw,
    ReserveDrawReply,
    ServerUpdate,
    SessionHeartbeat,
    SessionOpened,
)


class ScriptedController:
    """The gateway's controller: sends servers and the configuration, leases quotas, grants reserve draws at random."""

    def __init__(self, world: ScriptedWorld) -> None:
        self.world, self.rng = world, world.random("registrar")
        self.process = world.network.process("controller", CONTROLLER)
        self.link: Link | None = None
        self.draws: list[tuple[int, ReserveDraw]] = []  # with the gateway's incarnation
        self.replies: dict[tuple[int, int], tuple[str, int]] = {}  # by (incarnation, number): tenant, largest grant
        self.incarnation = 0
        self.previous: bytes = b""
        world.network.listen(self.process, lambda: Link(self._on_message, self._on_close), CONTROLLER, 7660)
        self._send_heartbeats()

    def _on_close(self, link: Link) -> None:
        if self.link is link:
            self.link = None

    def _send_heartbeats(self) -> None:
        if self.link is not None:
            self.link.send(SessionHeartbeat(1, 1, True))
        self.process.loop.call_later(0.25, self._send_heartbeats)

    def _on_message(self, link: Link, message: Message) -> None:
        if isinstance(message, OpenSession):
            self.link, self.incarnation = link, message.incarnation
            records = [ServerRecord(name, "s", f"10.1.0.{at + 1}:8080", "z", "v", 8) for at, name in enumerate(SERVERS)]
            link.send(
                SessionOpened(f"{CONTROLLER}:8407", [f"{CONTROLLER}:8407"], PROTOCOL_VERSION),
                ServerUpdate("r", 1, True, records),
                ConfigurationState(1, pack(configuration())),
                SessionHeartbeat(1, 1, True),
            )
        elif isinstance(message, GatewayReport) and link is self.link:
            for key, held in message.held.items():
                shares = {tenant: SHARE_UNITS // 100 for tenant in TENANTS if shard_of(tenant) == key}
                link.send(LeaseUpdate(key, QuotaLease(held.incarnation, held.sent_at, 1, held.epoch + 1, 8.0, shares)))
        elif isinstance(message, ReserveDraw):
            self._draw(message)

    def _draw(self, draw: ReserveDraw) -> None:
        rng = self.rng
        granted = rng.choice((0, 1, 1))
        self.draws.append((self.incarnation, draw))
        older = [each for each in self.draws if each[0] != self.incarnation]
        actions = ("once", "once", "twice", "late", "never", "old", "break")
        action = rng.choice(actions + ("old",) * 4 * bool(older))
        if action in ("once", "twice", "late"):
            self.world.later(
                rng.choice((0.0, 0.01, 0.04)) if action != "late" else rng.uniform(0.05, 0.3),
                self._reply,
                self.incarnation,
                draw,
                granted,
            )
        if action == "twice":
            self.world.later(rng.choice((0.0, 0.01, 0.1)), self._reply, self.incarnation, draw, granted)
        elif action == "old":
            # The reply to another draw, possibly of an earlier incarnation of the gateway.
            self._reply(*rng.choice(older or self.draws), 1)
        elif action == "break":
            self.world.later(rng.uniform(0.0, 0.02), self.drop_session)

    def _reply(self, incarnation: int, draw: ReserveDraw, granted: int) -> None:
        # Like a controller, send to the current session of the gateway with this name.
        _, before = self.replies.get((incarnation, draw.number), ("", 0))
        self.replies[incarnation, draw.number] = draw.tenant, max(before, granted)
        if self.link is not None:
            self.link.send(ReserveDrawReply(draw.gateway, draw.number, granted, 0.1))

    def granted_units(self, incarnation: int, tenant: str) -> int:
        """Requests of a tenant that were granted to an incarnation of the gateway."""
        return sum(
            granted for (each, _), (name, granted) in self.replies.items() if (each, name) == (incarnation, tenant)
        )

    def drop_session(self) -> None:
        """Close the session in the middle of a message."""
        if self.link is not None and self.link.open:
            complete = encode(ReserveDrawReply("d", 1, 1, 0.1))
            self.link.write(complete[: self.rng.randrange(len(complete))])
            self.link.transport.reset_on_close = self.rng.random() < 0.5
            self.link.close()
