"""The control API of a controller, for servers and operators; `crowseam.control_calls` lists the calls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from random import Random

import msgspec

from crowseam import clock, control_calls, logs
from crowseam.configuration.errors import ConfigurationError
from crowseam.configuration.model import parse_change
from crowseam.configuration.text import version_text
from crowseam.controller.agreement import Agreement
from crowseam.controller.drain_status_calls import DrainStatusCalls
from crowseam.controller.durable_state import ControllerStore
from crowseam.controller.gateway_sessions import GatewaySessions
from crowseam.controller.operation_service import OperationService
from crowseam.controller.peers import Peers
from crowseam.controller.pending_calls import error_body
from crowseam.controller.retirements import Retirements
from crowseam.controller.server_reports import ServerReports
from crowseam.discovery.errors import DiscoveryError
from crowseam.discovery.heartbeat import check_id, parse_heartbeat
from crowseam.discovery.service_registry import ServiceRegistry
from crowseam.membership.role_leases import RoleLeases
from crowseam.membership.sessions import SessionTable
from crowseam.operations.records import OperationRecord
from crowseam.quotas.shards import ROLE_KEYS
from crowseam.transport.http import Call
from crowseam.transport.links import Link

_PROPOSAL_ID_BITS = 48


def _parse_digest(text: str) -> bytes:
    try:
        return bytes.fromhex(text)
    except ValueError as error:
        raise DiscoveryError("operation", f"{text!r} is no digest in hexadecimal") from error


class ControlApi:
    """Passes each call to the component that serves it, and shows operators the state of the components."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        rng: Random,
        peers: Peers,
        agreement: Agreement,
        registry: ServiceRegistry,
        reports: ServerReports,
        retirements: Retirements,
        drain_status: DrainStatusCalls,
        session_table: SessionTable,
        gateways: GatewaySessions,
        role_leases: RoleLeases,
        store: ControllerStore,
        operations: OperationService,
    ) -> None:
        self.loop = loop
        self.rng = rng
        self.peers = peers
        self.agreement = agreement
        self.registry = registry
        self.reports = reports
        self.retirements = retirements
        self.drain_status = drain_status
        self.session_table = session_table
        self.gateways = gateways
        self.role_leases = role_leases
        self.store = store
        self.operations = operations
        self.node = agreement.node
        self.machine = agreement.machine
        self.is_closing = False  # the process is stopping and should get no more calls
        self._handlers: dict[str, Callable[[Call, str, float], None]] = {
            name: getattr(self, f"call_{name}") for _, _, name in control_calls.TABLE
        }
        self.call_counts: dict[str, int] = {}  # by handler

    def serve(self, call: Call) -> None:
        """Answer a call, at once or later. Unexpected errors are answered with 500, not raised."""
        found = control_calls.find(call.method, call.path)
        if isinstance(found, int):
            call.reply(found, error_body(f"{call.method} {call.path} is no call of this system"))
            return
        name, ident = found
        self.call_counts[name] = self.call_counts.get(name, 0) + 1
        try:
            self._handlers[name](call, ident, clock.monotonic())
        except (DiscoveryError, ConfigurationError) as error:
            status = error.status if isinstance(error, ConfigurationError) else HTTPStatus.BAD_REQUEST
            call.reply(status, error_body(str(error)))
        except Exception:  # noqa: BLE001 - a failed call must not end the connection for others
            logs.exception("call_failed")
            call.reply(HTTPStatus.INTERNAL_SERVER_ERROR, error_body("the call failed"))

    # Servers

    def call_heartbeat(self, call: Call, ident: str, now: float) -> None:
        """Handle a server's heartbeat."""
        self.reports.heartbeat(call, ident, parse_heartbeat(ident, call.body), now)

    def call_leave(self, call: Call, ident: str, now: float) -> None:
        """Handle the notice of a server that it has ended."""
        self.reports.leave(call, check_id(ident), now)

    # Operators

    def call_config_get(self, call: Call, _: str, now: float) -> None:
        """Answer with the current configuration."""
        self.agreement.read(call, now)

    def call_config_change(self, call: Call, _: str, now: float) -> None:
        """Replace or patch the configuration."""
        try:
            change = parse_change(call.method, call.body)
        except ConfigurationError as error:
            logs.emit("change_rejected", status=error.status, reason=error)
            raise
        proposal_id = f"{self.peers.me}/{self.peers.incarnation}/{self.rng.getrandbits(_PROPOSAL_ID_BITS):012x}"
        self.agreement.change(call, change, proposal_id, now)

    def call_retire(self, call: Call, _: str, now: float) -> None:
        """Retire servers, or put them back into use."""
        self.retirements.on_call(call, now)

    def call_retiring(self, call: Call, ident: str, now: float) -> None:
        """Answer with the leaving servers, and the gateways that still have requests in flight to them."""
        self.drain_status.on_call(call, ident, now)

    # Local state: also served without a majority, with a header that says how stale it may be

    def _reply_json(self, call: Call, body: object, now: float) -> None:
        call.reply(HTTPStatus.OK, msgspec.json.encode(body), fields=self.peers.age_header(now))

    def call_history(self, call: Call, _: str, now: float) -> None:
        """Answer with the remembered changes of the configuration."""
        self._reply_json(call, self.machine.history(), now)

    def call_servers(self, call: Call, _: str, now: float) -> None:
        """Answer with all servers in the registry."""
        self._reply_json(call, [msgspec.structs.asdict(record) for record in self.registry.records(now)], now)

    def call_members(self, call: Call, _: str, now: float) -> None:
        """Answer with the gateways by controller, the states of the controllers, and the voters."""
        states = {addr: self.peers.detector.state(addr, now) for addr in self.peers.dialers}
        members = {
            "gateways": self.session_table.members(now),
            "controllers": states | {self.peers.me: "self"},
            "voters": self.peers.voters(),
        }
        self._reply_json(call, members, now)

    def call_duties(self, call: Call, _: str, now: float) -> None:
        """Answer with the holder of each role."""
        self._reply_json(call, {key: self.role_leases.holder(key, now) for key in ROLE_KEYS}, now)

    def call_operations(self, call: Call, key: str, now: float) -> None:
        """Answer with a summary of the stored keyed operations, or with the records of one (key digest in hex)."""
        replica = self.operations.replica
        if key:
            self._reply_json(
                call, [self._describe_operation(record, now) for record in replica.records_of(_parse_digest(key))], now
            )
            return
        summary = replica.count_states() | {
            "expired": replica.expired,
            "bytes": replica.used_bytes,
            "max_bytes": replica.max_bytes,
            "votes": self.operations.catch_up.is_caught_up,
            "rounds": len(self.operations.coordinator),
        }
        self._reply_json(call, summary, now)

    @staticmethod
    def _describe_operation(record: OperationRecord, now: float) -> dict[str, object]:
        name = record.name
        return {
            "state": record.state.value,
            "gateway": name.gateway,
            "claim": f"{name.incarnation}/{name.number}",
            "status": record.answer.status if record.answer is not None else None,
            "bytes": record.size,
            "kept_for_s": round(record.expires_at - now, 1),
        }

    def call_status(self, call: Call, _: str, now: float) -> None:
        """Answer with the state of this controller."""
        self._reply_json(
            call,
            {
                "addr": self.peers.me,
                "ver": version_text(self.machine.config.ver),
                "slot": self.node.last_slot,
                "in_touch": self.peers.is_majority_reachable(now),
                "age_s": round(self.peers.age_s(now), 3),
                "voters": self.peers.voters(),
                "voting": self.node.voting,
                "voter": self.node.me in self.node.voters,
                "gateways": self.session_table.count(now),
                "servers": len(self.registry.snapshot(now)),
                "silent": self.gateways.server_feed.silent,
                "disk_late_s": self.store.overdue_s(),
                "unreadable": Link.unreadable_messages,
            },
            now,
        )

    def call_metrics(self, call: Call, _: str, now: float) -> None:
        """Answer with the metrics in Prometheus format."""
        from crowseam.metrics import exposition, families

        exposition.answer_scrape(call, self.loop, families.of_controller(self, now))

    def call_readyz(self, call: Call, _: str, __: float) -> None:
        """Answer whether this controller accepts calls.

        It does without a majority, too: otherwise, if all controllers lack one, none would accept heartbeats or answer
        operators.
        """
        call.reply(HTTPStatus.SERVICE_UNAVAILABLE if self.is_closing else HTTPStatus.OK)
