"""The composition root: creates the components of a controller and connects them.

Decisions are made in `consensus`, `discovery`, `membership`, `operations` and `quotas`; the components of this package
carry them out. `daemon` passes them the time and the received messages.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from crowseam import clock
from crowseam.consensus.effects import NotifyApplied
from crowseam.consensus.messages import Voter
from crowseam.consensus.node import Node
from crowseam.consensus.timing import Timing
from crowseam.controller.agreement import Agreement
from crowseam.controller.api import ControlApi
from crowseam.controller.drain_status_calls import DrainStatusCalls
from crowseam.controller.durable_state import ControllerStore, DiskWriter
from crowseam.controller.gateway_sessions import GatewaySessions
from crowseam.controller.lease_service import LeaseService
from crowseam.controller.leaving_records import LeavingRecords
from crowseam.controller.operation_service import OperationService
from crowseam.controller.peers import Peers
from crowseam.controller.pending_calls import PendingCalls
from crowseam.controller.retirements import Retirements
from crowseam.controller.server_reports import ServerReports
from crowseam.controller.state_machine import ConfigurationStateMachine
from crowseam.controller.voter_synchronization import VoterSynchronization
from crowseam.discovery.anti_entropy import AntiEntropy
from crowseam.discovery.replication import PendingAcknowledgements
from crowseam.discovery.service_registry import ServiceRegistry
from crowseam.discovery.voter_catch_up import VoterCatchUp
from crowseam.membership.role_leases import RoleLeases
from crowseam.membership.sessions import SessionTable
from crowseam.quotas.shards import ROLE_KEYS
from crowseam.settings import Settings
from crowseam.storage.store import Store
from crowseam.transport.links import Link
from crowseam.transport.messages import Message

# Call numbers start at the start time of the process in microseconds, shifted left by this many bits.
_CALL_NUMBER_BITS = 10
_NS_PER_US = 1000
_INCARNATION_RANDOM_BITS = 32


@dataclass(frozen=True, slots=True)
class ControllerParts:
    """The components of a controller, apart from its listeners and timers."""

    store: ControllerStore
    machine: ConfigurationStateMachine
    node: Node
    registry: ServiceRegistry
    session_table: SessionTable
    role_leases: RoleLeases
    acknowledgements: PendingAcknowledgements
    catch_up: VoterCatchUp
    pending_calls: PendingCalls
    peers: Peers
    gateways: GatewaySessions
    agreement: Agreement
    lease_service: LeaseService
    leaving_records: LeavingRecords
    retirements: Retirements
    drain_status: DrainStatusCalls
    reports: ServerReports
    voter_sync: VoterSynchronization
    operations: OperationService
    api: ControlApi


def build_parts(
    loop: asyncio.AbstractEventLoop,
    settings: Settings,
    rng: Random,
    now: float,
    on_link_message: Callable[[Link, Message], None],
    on_own_message: Callable[[str, Message], None],
    store_type: Callable[[str], Store],
    writer_type: Callable[[asyncio.AbstractEventLoop, Store], DiskWriter],
) -> ControllerParts:
    """Create and connect the components of a controller.

    `on_link_message` handles messages received on links, `on_own_message` messages of the controller to itself.

    Raises
    ------
    crowseam.storage.errors.StoreError
        If the store cannot be read.
    """
    me = settings.bind.ctl
    started_us = clock.time_ns() // _NS_PER_US
    first_number = started_us << _CALL_NUMBER_BITS
    incarnation = f"{started_us:x}.{rng.getrandbits(_INCARNATION_RANDOM_BITS):08x}"
    store = ControllerStore(loop, settings, rng, store_type, writer_type)
    machine = ConfigurationStateMachine()
    node = Node(
        Voter(store.durable.id or "", me),
        store.durable,
        machine,
        rng,
        Timing(poll_all_voters=False),
        voting=store.writer is not None and settings.voting,
        tolerated_failures=settings.survive.nodes,
        bootstrap_addrs=[seed for seed in settings.seeds if seed != me],
    )
    registry = ServiceRegistry(incarnation, now)
    session_table = SessionTable(me, incarnation)
    role_leases = RoleLeases(me, rng, now, ROLE_KEYS, saved_notes=store.granted_roles())
    anti_entropy = AntiEntropy(registry)
    acknowledgements = PendingAcknowledgements(me, first_number)
    catch_up = VoterCatchUp(store.durable.id or "", store.was_caught_up)
    pending_calls = PendingCalls(first_number)
    port, _ = settings.port_range
    peers = Peers(loop, me, incarnation, port, node, session_table, anti_entropy.offer, on_link_message, on_own_message)
    has_complete_members = store.has_complete_members and store.granted_roles() is not None
    gateways = GatewaySessions(registry, session_table, machine, peers, store.members(), has_complete_members, now)
    lease_service = LeaseService(role_leases, machine, session_table, gateways, peers, store)

    def on_applied(applied: NotifyApplied) -> None:
        lease_service.index_tenants()
        gateways.on_applied(applied)

    agreement = Agreement(loop, node, machine, store, pending_calls, peers.post, on_applied)
    server_feed = gateways.server_feed
    leaving_records = LeavingRecords(registry, peers, server_feed, store)
    retirements = Retirements(loop, registry, acknowledgements, peers, server_feed, pending_calls)
    drain_status = DrainStatusCalls(loop, registry, session_table, peers, gateways, server_feed, pending_calls)
    reports = ServerReports(
        registry, anti_entropy, acknowledgements, peers, server_feed, retirements, leaving_records, pending_calls, now
    )
    voter_sync = VoterSynchronization(
        node, registry, catch_up, acknowledgements, role_leases, lease_service, leaving_records, peers, store
    )
    operations = OperationService(settings, peers, gateways, store, first_number, now)
    api = ControlApi(
        loop,
        rng,
        peers,
        agreement,
        registry,
        reports,
        retirements,
        drain_status,
        session_table,
        gateways,
        role_leases,
        store,
        operations,
    )
    return ControllerParts(
        store=store,
        machine=machine,
        node=node,
        registry=registry,
        session_table=session_table,
        role_leases=role_leases,
        acknowledgements=acknowledgements,
        catch_up=catch_up,
        pending_calls=pending_calls,
        peers=peers,
        gateways=gateways,
        agreement=agreement,
        lease_service=lease_service,
        leaving_records=leaving_records,
        retirements=retirements,
        drain_status=drain_status,
        reports=reports,
        voter_sync=voter_sync,
        operations=operations,
        api=api,
    )
