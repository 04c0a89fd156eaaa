"""Simulated TCP network: connections with delay, cuts, retransmission, resets and bounded send buffers.

Bytes keep their order within a connection, and on a link with limited bandwidth across all of its connections.
A cut link and a machine without power drop packets silently: unsent data is held, and the connection fails only if its
sender has set TCP_USER_TIMEOUT.  A process that ends closes its connections; data sent to a closed end is reset.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from dataclasses import dataclass

from crowseam.simulator.world.link_faults import LinkFault
from crowseam.simulator.world.loop import Process, World
from crowseam.simulator.world.transport import Retransmission, Transport

MIN_RETRANSMIT_DELAY_S = 0.2  # before packets held by a cut are sent again
MAX_RANDOM_RETRANSMIT_DELAY_S = 2.0  # upper bound of the random part of that delay
CONNECT_RETRY_DELAY_S = 1.0  # before a SYN is sent again; doubles each time
PACKET_HEADER_BYTES = 60  # header size of each packet
MAX_PACKET_BYTES = 16 * 1024  # largest piece sent at once over a link with limited bandwidth
MAX_RESENDS = 4  # of one lost packet
FIRST_PORT, PORT_COUNT = 20_000, 40_000  # ephemeral ports of connecting clients


@dataclass
class Listener:
    """A listening socket."""

    network: Network
    process: Process
    factory: Callable
    host: str
    port: int

    def close(self) -> None:
        """Stop listening."""
        if self.process.listeners.get(self.port) is self:
            del self.process.listeners[self.port]
            self.network.listeners.pop((self.host, self.port), None)

    def is_serving(self) -> bool:
        """Whether the socket still listens."""
        return self.process.listeners.get(self.port) is self


class Network:
    """The network between all machines: listeners, connections and link faults."""

    def __init__(self, world: World, delay: Callable[[str, str], float], zone: Callable[[str], str]) -> None:
        self.world, self.delay, self.zone = world, delay, zone
        self.rng = world.random("network")
        self.listeners: dict[tuple[str, int], Listener] = {}
        self.powered_off: set[str] = set()  # addresses of machines without power
        self.link_faults: list[LinkFault] = []
        self.blocked_senders: dict[Transport, None] = {}
        self.unacknowledged_senders: dict[Transport, None] = {}
        self.bytes_between_zones = 0
        self.bandwidth: Callable[[str, str], float | None] | None = None  # bytes/s of a link; None: unlimited
        self.link_free_at: dict[tuple[str, str], float] = {}  # time at which a link with limited bandwidth is idle
        self.bytes_carried: dict[tuple[str, str], int] = {}  # by link with limited bandwidth
        self.connections_opened = 0
        self.last_port = FIRST_PORT

    def process(self, name: str, ip: str, callback_cost_s: float = 0.0, **clock: float) -> Process:
        """Create a process at an address; `callback_cost_s` is the processor time of each callback."""
        process = Process(self.world, name, ip, callback_cost_s, **clock)
        process.loop.network = self
        return process

    def blocked(self, source: str, destination: str) -> bool:
        """Whether packets from `source` to `destination` are lost; the opposite direction may still work."""
        if self.powered_off and (source in self.powered_off or destination in self.powered_off):
            return True
        return any(fault.blocks(source, destination) for fault in self.link_faults)

    def is_partitioned(self, source: str, destination: str) -> bool:
        """Whether packets are lost in at least one direction, so that no connection can be established."""
        return self.blocked(source, destination) or self.blocked(destination, source)

    def latency(self, source: str, destination: str) -> float:
        """One-way delay of a packet in s, including retransmissions on a lossy link."""
        delay = self.delay(source, destination) * (1.0 + 0.1 * self.rng.random())
        for fault in self.link_faults:
            if not fault.cut and fault.affects(source, destination):
                delay += fault.delay * (0.5 + self.rng.random())
                resends = 0
                while fault.loss and resends < MAX_RESENDS and self.rng.random() < fault.loss:
                    delay += MIN_RETRANSMIT_DELAY_S * 2**resends
                    resends += 1
        return delay

    # Connections

    def listen(self, process: Process, factory: Callable, host: str, port: int) -> Listener:
        """Listen at an address. Raises OSError if it is in use."""
        if (host, port) in self.listeners:
            raise OSError(errno.EADDRINUSE, f"{host}:{port} is taken")
        listener = Listener(self, process, factory, host, port)
        self.listeners[host, port] = process.listeners[port] = listener
        return listener

    def dial(
        self,
        process: Process,
        factory: Callable,
        host: str,
        port: int,
        connected: asyncio.Future,
        pause: float = CONNECT_RETRY_DELAY_S,
    ) -> None:
        """Open a connection; `connected` resolves to (transport, protocol) or fails with OSError."""
        world = self.world
        if connected.done() or not process.alive:
            return
        if self.is_partitioned(process.ip, host):
            world.schedule(world.now + pause, process, self.dial, (process, factory, host, port, connected, 2 * pause))
            return
        delay = self.latency(process.ip, host)
        world.schedule(
            world.now + delay,
            world.environment,
            self._open_connection,
            (process, factory, host, port, connected, pause),
        )

    def _open_connection(
        self, process: Process, factory: Callable, host: str, port: int, connected: asyncio.Future, pause: float
    ) -> None:
        world = self.world
        if self.is_partitioned(process.ip, host):
            world.schedule(world.now + pause, process, self.dial, (process, factory, host, port, connected, 2 * pause))
            return
        listener = self.listeners.get((host, port))
        established_at = world.now + self.latency(process.ip, host)
        if listener is None:
            error = ConnectionRefusedError(errno.ECONNREFUSED, f"{host}:{port} refuses")
            world.schedule(established_at, process, _resolve, (connected, None, error))
            return
        self.last_port = FIRST_PORT + (self.last_port - FIRST_PORT + 1) % PORT_COUNT
        local_address = f"{process.ip}:{self.last_port}"
        self.connections_opened += 1
        local_end = Transport(self, process, local_address, f"{host}:{port}")
        remote_end = Transport(self, listener.process, f"{host}:{port}", local_address)
        local_end.peer, remote_end.peer = remote_end, local_end
        world.schedule(world.now, listener.process, remote_end.attach, (listener.factory(),))
        remote_end.last_arrival = established_at
        world.schedule(established_at, process, self._complete_connection, (local_end, factory, connected))

    def _complete_connection(self, local_end: Transport, factory: Callable, connected: asyncio.Future) -> None:
        if connected.done():
            local_end.closed = local_end.lost = True
            local_end.process.transports.pop(local_end, None)
            self.send_packet(local_end, "end", b"")
            return
        protocol = factory()
        local_end.attach(protocol)
        connected.set_result((local_end, protocol))

    def send_packet(self, sender: Transport, kind: str, data: bytes) -> None:
        """Send a packet, or hold it while the link is cut or earlier packets are held."""
        peer = sender.peer
        source, destination = sender.process.ip, peer.process.ip
        if sender.held_packets or ((self.powered_off or self.link_faults) and self.blocked(source, destination)):
            return self._hold_packet(sender, kind, data)
        if self.link_faults and kind == "data" and self.blocked(destination, source):
            self._mark_unacknowledged(sender)
        self._deliver(sender, kind, data, 0.0)

    def _mark_unacknowledged(self, sender: Transport) -> None:
        """Data arrives but its acknowledgements are lost: the sender gives up after its user timeout."""
        if sender.unacknowledged_since is None:
            sender.unacknowledged_since = self.world.now
            self.unacknowledged_senders[sender] = None
            if sender.user_timeout is not None:
                self.world.schedule(
                    self.world.now + sender.user_timeout,
                    self.world.environment,
                    self._acknowledgement_timed_out,
                    (sender, self.world.now),
                )

    def _acknowledgement_timed_out(self, sender: Transport, since: float) -> None:
        if sender.unacknowledged_since == since and not sender.lost:
            self.unacknowledged_senders.pop(sender, None)
            sender._disconnect(TimeoutError(errno.ETIMEDOUT, "not acknowledged in time"))

    def _hold_packet(self, sender: Transport, kind: str, data: bytes) -> None:
        if not sender.held_packets:
            self._wait_for_link(sender, self.world.now)
        sender.held_packets.append((kind, data))

    def _wait_for_link(self, sender: Transport, since: float) -> None:
        """Wait until the link is restored or the user timeout, which counts from `since`, is over."""
        sender.held_since = since
        self.blocked_senders[sender] = None
        if sender.user_timeout is not None:
            deadline = max(self.world.now, since + sender.user_timeout)
            self.world.schedule(deadline, self.world.environment, self._hold_timed_out, (sender, since))

    def _deliver(self, sender: Transport, kind: str, data: bytes, delay: float) -> None:
        source, destination = sender.process.ip, sender.peer.process.ip
        bandwidth = self.bandwidth(source, destination) if self.bandwidth is not None else None
        if bandwidth is None:
            return self._arrive(sender, kind, data, delay)
        for offset in range(0, max(1, len(data)), MAX_PACKET_BYTES):
            piece = data[offset : offset + MAX_PACKET_BYTES]
            begin = max(self.world.now + delay, self.link_free_at.get((source, destination), 0.0))
            self.link_free_at[source, destination] = begin + (len(piece) + PACKET_HEADER_BYTES) / bandwidth
            self.bytes_carried[source, destination] = (
                self.bytes_carried.get((source, destination), 0) + len(piece) + PACKET_HEADER_BYTES
            )
            self._arrive(sender, kind, piece, self.link_free_at[source, destination] - self.world.now)

    def _arrive(self, sender: Transport, kind: str, data: bytes, delay: float) -> None:
        peer, world = sender.peer, self.world
        source, destination = sender.process.ip, peer.process.ip
        if self.zone(source) != self.zone(destination):
            self.bytes_between_zones += len(data) + PACKET_HEADER_BYTES
        when = sender.last_arrival = max(world.now + delay + self.latency(source, destination), sender.last_arrival)
        if peer.process.alive:
            arrival = world.schedule(when, peer.process, peer.receive, (kind, data))
        elif kind == "data":
            arrival = world.schedule(when, world.environment, self.send_reset, (peer,))
        else:
            return
        if sender.retransmission is not None:
            sender.retransmission.packets.append((arrival, kind, data))

    def send_reset(self, closed: Transport) -> None:
        """Reset the peer of an end that was closed when data arrived, unless the link back is cut."""
        peer, world = closed.peer, self.world
        peer.data_refused = True
        if peer.process.alive and not peer.lost and not self.blocked(closed.process.ip, peer.process.ip):
            world.schedule(
                world.now + self.latency(closed.process.ip, peer.process.ip), peer.process, peer.receive, ("reset", b"")
            )

    def _hold_timed_out(self, sender: Transport, since: float) -> None:
        if sender.held_packets and sender.held_since == since and not sender.lost:
            sender.held_packets.clear()
            self.blocked_senders.pop(sender, None)
            sender._disconnect(TimeoutError(errno.ETIMEDOUT, "not acknowledged in time"))

    def resume_links(self) -> None:
        """Retransmit held packets on links that have been restored; call this after each change of link faults."""
        world = self.world
        for sender in list(self.unacknowledged_senders):
            if sender.lost or not self.blocked(sender.peer.process.ip, sender.process.ip):
                del self.unacknowledged_senders[sender]
                sender.unacknowledged_since = None
        for sender in list(self.blocked_senders):
            if self.blocked(sender.process.ip, sender.peer.process.ip):
                continue
            del self.blocked_senders[sender]
            self._recall_retransmission(sender)
            held, sender.held_packets = sender.held_packets, []
            # Retransmission backs off: the longer the cut, the longer the delay.
            delay = (
                MIN_RETRANSMIT_DELAY_S
                + min(MAX_RANDOM_RETRANSMIT_DELAY_S, 0.5 * (world.now - sender.held_since)) * self.rng.random()
            )
            if sender.process.alive or sender.process.ip not in self.powered_off:
                sender.retransmission = Retransmission(sender.held_since)
                for kind, data in held:
                    self._deliver(sender, kind, data, delay)
                world.schedule(
                    world.now + delay, world.environment, self._retransmission_sent, (sender, sender.retransmission)
                )

    def _retransmission_sent(self, sender: Transport, retransmission: Retransmission) -> None:
        """Held packets are sent now; if the link has been cut again, they remain held."""
        if sender.retransmission is not retransmission:
            return
        if not self.blocked(sender.process.ip, sender.peer.process.ip):
            sender.retransmission = None
            return
        self._recall_retransmission(sender)
        if sender.held_packets:
            self._wait_for_link(sender, sender.held_since)

    def _recall_retransmission(self, sender: Transport) -> None:
        """Cancel a pending retransmission and hold its packets again, ahead of those held since."""
        retransmission, sender.retransmission = sender.retransmission, None
        if retransmission is None:
            return
        for arrival, _, _ in retransmission.packets:
            arrival.cancel()
        sender.held_packets[:0] = [(kind, data) for _, kind, data in retransmission.packets]
        sender.held_since = retransmission.held_since

    # Processes and machines that end

    def process_ended(self, process: Process, silently: bool = False) -> None:
        """End a process and close its connections; if `silently`, as at a power loss, its peers are not told."""
        process.end()
        for key in [key for key, listener in self.listeners.items() if listener.process is process]:
            del self.listeners[key]
        for transport in list(process.transports):
            was_closed = transport.closed
            transport.closed = transport.lost = True
            transport.protocol = None
            self.blocked_senders.pop(transport, None)
            if silently:
                self._recall_retransmission(transport)
                transport.held_packets.clear()
                peer = transport.peer
                if peer.process.alive and not peer.lost and peer.last_arrival > self.world.now:
                    self._hold_packet(peer, "data", b"")  # data in transit is never acknowledged
            elif not was_closed:
                self.send_packet(transport, "reset" if transport.unread else "end", b"")
        process.transports.clear()


def _resolve(connected: asyncio.Future, result: object, error: Exception | None) -> None:
    if connected.done():
        return
    if error is not None:
        connected.set_exception(error)
    else:
        connected.set_result(result)
