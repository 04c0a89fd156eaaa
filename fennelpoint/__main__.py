"""`python -m fennelpoint` runs one ingress: its configuration, signals, start and stop."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import math
import os
import signal
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass

import uvloop

from fennelpoint import interface as api
from fennelpoint.net.backends import BackendPool
from fennelpoint.net.counter import CounterClient
from fennelpoint.net.discovery import Address, DiscoveryUpdate, DiscoveryWatch, parse_address, parse_list
from fennelpoint.net.flow import BufferBudget
from fennelpoint.net.handover import Handover, State
from fennelpoint.net.host import Host
from fennelpoint.net.notice import in_background, log
from fennelpoint.net.operators import MAX_CALLERS, OperatorServer
from fennelpoint.net.reader import Reader
from fennelpoint.net.server import Server
from fennelpoint.settings import from_json

SWEEP_INTERVAL_S = 0.25  # of idle connections and of the other process's state
LIST_WAIT_S = 1.0  # for discovery to answer before the cached list is used
ACCEPT_AFTER_STOP_S = 0.5  # after SIGTERM connections are still accepted, as the front end learns of it late
# A stop takes until the longest deadline, but no more than this, and the slack; SIGKILL follows 0.3 s later.
MAX_STOP_S, STOP_SLACK_S = 3.0, 0.4
CLOSE_BEFORE_END_S = 0.5  # before the end of a stop: a stopping process accepts nothing more from then on
UNUSED_S = 2.0  # after which a process that stops beside a newer one closes an unused connection
DEFAULT_SOCKETS = 1024  # descriptors
DEFAULT_MEMORY_MB = 128
RESERVED_SOCKETS = 32  # for files, the loop, discovery, the counter and the listener
GC_THRESHOLDS = (10_000, 20, 50)  # high, as reference counting frees nearly everything
# Shares of the other descriptors for upstream connections and for clients: alone, beside an older process,
# beside a newer one. An older process can't close what is in use, but it accepts nothing more.
SOCKET_SHARES = {"alone": (0.4, 0.6), "newer": (0.25, 0.38), "older": (0.15, 0.22)}
STOPPING_SHARE, STAYING_SHARE, EVEN_SHARE = 0.25, 0.75, 0.5  # of the ingress's limits, with two processes


class ConfigError(Exception):
    """The configuration is invalid; the message names the field."""


@dataclass(slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    sockets: int
    settings: api.Settings
    cached_list: DiscoveryUpdate | None
    mgmt: Address | None = None  # the second address, for operators
    listen_fd: int | None = None  # an inherited listening socket, used in place of a new one
    memory_mb: float = DEFAULT_MEMORY_MB
    state_folder: str | None = None  # where the processes of this ingress share their state


def read_config(path: str) -> Config:
    """Read and check the configuration file."""
    try:
        with open(path, "rb") as file:
            value = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"configuration {path}: {error}") from None
    if not isinstance(value, dict):
        raise ConfigError(f"configuration {path}: it is not an object")
    try:
        settings = from_json(value.get("settings"))
        counter = value.get("counter")
        if counter is None and settings.has_counter:
            raise ConfigError("configuration: counter is missing, and the settings say that there is one")
        limits = value.get("limits", {})
        sockets = limits.get("sockets", DEFAULT_SOCKETS) if isinstance(limits, dict) else None
        if isinstance(sockets, bool) or not isinstance(sockets, int) or sockets < 2 * RESERVED_SOCKETS:
            raise ConfigError(
                f"configuration: limits.sockets: {sockets!r} is not {2 * RESERVED_SOCKETS} or more"
            )
        memory = limits.get("memory_mb", DEFAULT_MEMORY_MB)
        if isinstance(memory, bool) or not isinstance(memory, int | float) or not 0.0 < memory < math.inf:
            raise ConfigError(f"configuration: limits.memory_mb: {memory!r} is not a size")
        cached_list, mgmt = value.get("known"), value.get("mgmt", os.environ.get("BALANCER_MGMT"))
        return Config(
            str(value.get("name", "")),
            parse_address(value.get("listen"), "listen"),
            parse_address(value.get("discovery"), "discovery"),
            parse_address(counter, "counter") if counter is not None else None,
            read_seed(value.get("seed")),
            sockets,
            settings,
            parse_list(cached_list, settings, where="known") if cached_list is not None else None,
            parse_address(mgmt, "mgmt") if mgmt is not None else None,
            read_listen_fd(os.environ.get("BALANCER_LISTEN_FD")),
            memory,
            os.environ.get("TMPDIR"),
        )
    except ValueError as error:
        raise ConfigError(f"configuration: {error}") from None


def read_seed(value: object) -> int:
    try:
        return int(value, 16)
    except (TypeError, ValueError):
        raise ConfigError(f"configuration: seed: {value!r} is not a hexadecimal number") from None


def read_listen_fd(value: str | None) -> int | None:
    """Return the number of the inherited descriptor; None if there is none."""
    if not value:
        return None
    if not (value.isascii() and value.isdigit()):
        raise ConfigError(f"BALANCER_LISTEN_FD: {value!r} is not a descriptor")
    return int(value)


def inherited_socket(descriptor: int) -> socket.socket:
    """Return the listening socket of an inherited descriptor."""
    try:
        inherited = socket.socket(fileno=descriptor)
        if not inherited.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise ConfigError(f"BALANCER_LISTEN_FD: {descriptor} does not listen")
    except OSError as error:
        raise ConfigError(f"BALANCER_LISTEN_FD: {descriptor}: {error}") from None
    return inherited


class Ingress:
    """The parts of a running ingress and the order in which they start and stop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, path: str = "") -> None:
        settings = config.settings
        self.loop, self.config, self.path, self.stopped = loop, config, path, loop.create_future()
        self.inherited = inherited_socket(config.listen_fd) if config.listen_fd is not None else None
        self.handover = Handover(config.state_folder, config.name)
        self.role, self.listening = "alone", False
        upstream, clients = self._connection_limits()
        self.backends = BackendPool(
            loop,
            upstream,
            settings.connect_timeout,
            settings.idle_timeout,
            min(c.latency_target for c in settings.classes),
            BufferBudget(config.memory_mb),
        )
        self.counter = (
            CounterClient(loop, *config.counter, settings.counter_timeout)
            if (config.counter is not None and settings.has_counter)
            else None
        )
        self.host = Host(loop, settings, config.seed, self.backends, self.counter)
        self.discovery = DiscoveryWatch(loop, config.discovery, settings, self.follow, config.seed)
        self.new_discovery: DiscoveryWatch | None = None  # set by a reload, until its first list comes
        self.server = Server(loop, self.host, clients, Reader(config.settings))
        self.operators = OperatorServer(loop, self) if config.mgmt is not None else None
        self.listen_task: asyncio.Task | None = None
        self.stopping_since: float | None = None
        self.max_stop_s = min(MAX_STOP_S, max(c.deadline for c in settings.classes))

    def _connection_limits(self) -> tuple[int, int]:
        """Return the most upstream connections and the most client connections."""
        reserved = RESERVED_SOCKETS
        if self.config.mgmt is not None:
            reserved += MAX_CALLERS + 1  # so that operators can connect under any load
        available, (upstream, clients) = self.config.sockets - reserved, SOCKET_SHARES[self.role]
        return max(1, int(available * upstream)), max(1, int(available * clients))

    async def start(self) -> None:
        self.handover.register()
        self._update_share()
        self._apply_changed_bans()
        if self.operators is not None:
            await self.operators.listen(self.config.mgmt)
        if (cached_list := self.config.cached_list) is not None:
            cached_list.roster.kind = api.RosterKind.CACHED
            self.discovery.apply(cached_list)
        if self.inherited is None or self.role == "alone":
            await self._listen()
        self.discovery.start()
        # Where discovery is polled, the first poll may be much later: the cached list is used at once.
        is_polled = self.config.settings.discovery == "ask"
        self.loop.call_later(0.0 if is_polled else LIST_WAIT_S, self._use_cached_list)
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    async def _listen(self) -> None:
        self.listening = True
        await self.server.listen(self.config.listen if self.inherited is None else self.inherited)
        if self.host.ready:
            self.handover.publish_state(State.RUNNING)

    def _update_share(self) -> None:
        """Share the ingress's limits with another process of it while there is one."""
        others = self.handover.other_states()
        starting = self.stopping_since is None and not (self.listening and self.host.ready)
        if not others:
            self.role = "alone"
        elif self.role == "alone":
            self.role = "newer" if starting else "older"
        if all(state is State.STARTING for state in others):
            share = 1.0
        elif self.stopping_since is not None:
            share = STOPPING_SHARE
        else:
            share = STAYING_SHARE if State.STOPPING in others else EVEN_SHARE
        self.backends.max_connections, self.server.max_connections = self._connection_limits()
        self.host.set_allowance_share(share)

    def _apply_changed_bans(self) -> None:
        """Apply the bans that operators set at another process of this ingress, or at the one before."""
        bans, withdrawn = self.handover.read_changed_bans(), self.host.withdrawn
        for backend in bans - withdrawn if bans is not None else ():
            self.host.withdraw(backend)
        for backend in withdrawn - bans if bans is not None else ():
            self.host.restore(backend)

    def follow(self, roster: api.Roster, addresses: dict[str, Address]) -> None:
        self.host.apply_roster(roster, addresses)
        if roster.kind is not api.RosterKind.CACHED:
            self._set_ready()

    # Calls of operators.

    def takes_clients(self) -> bool:
        return self.server.ready

    def metrics(self) -> bytes:
        return self.host.render_metrics()

    def suspend(self, backend: str) -> bool:
        return self._change_ban(backend, self.host.withdraw)

    def resume(self, backend: str) -> bool:
        return self._change_ban(backend, self.host.restore)

    def _change_ban(self, backend: str, change: Callable[[str], None]) -> bool:
        if not self.host.is_known(backend):
            return False
        self._apply_changed_bans()  # else changes made at the other process just now would be undone
        change(backend)
        self.handover.write_bans(self.host.withdrawn)
        return True

    def drain(self) -> bool:
        if self.stopping_since is None:
            self.server.drain()
        return self.stopping_since is None

    def activate(self) -> bool:
        if self.stopping_since is None:
            self.server.activate()
        return self.stopping_since is None

    def reload(self) -> None:
        """Handle SIGHUP: switch to the file's discovery and counter; other settings stay as they are.

        An invalid file changes nothing. The signal may come again at any time.
        """
        if self.stopping_since is not None:
            return
        try:
            config = read_config(self.path)
        except ConfigError as error:
            return log.error("%s keeps its configuration: %s", self.config.name, error)
        log.info("%s reads its configuration anew", config.name)
        if self.counter is not None and config.counter is not None:
            self.counter.set_address(*config.counter)
        if self.new_discovery is not None:
            self.new_discovery.stop()
            self.new_discovery = None
        if config.discovery != self.discovery.address:
            # The old discovery goes on until the new one's first list, so that no change is missed. The new
            # one has its own revisions, so it is asked for the whole list.
            self.new_discovery = DiscoveryWatch(
                self.loop, config.discovery, self.config.settings, self._switch_discovery, self.config.seed
            )
            self.new_discovery.known_addresses = self.discovery.known_addresses
            self.new_discovery.start()

    def _switch_discovery(self, roster: api.Roster, addresses: dict[str, Address]) -> None:
        """Switch to a new discovery when its first list comes."""
        self.discovery.stop()
        self.discovery, self.new_discovery = self.new_discovery, None
        self.discovery.on_update = self.follow
        self.follow(roster, addresses)

    def _set_ready(self) -> None:
        if not self.host.ready:
            self.host.ready = True
            log.info("%s is ready", self.config.name)
            if not self.listening:  # an older process served until now
                self.listen_task = self.loop.create_task(self._listen())
            elif self.server.listener is not None:
                self.handover.publish_state(State.RUNNING)

    def _use_cached_list(self) -> None:
        """Start with the cached list while discovery is down."""
        if self.discovery.known_addresses:
            self._set_ready()

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        self._update_share()
        self._apply_changed_bans()
        if not self.listening and self.role == "alone" and self.stopping_since is None:
            self.listen_task = self.loop.create_task(self._listen())  # the older process has ended
        self.server.sweep()
        self.backends.sweep()
        if self.counter is not None:
            self.counter.sweep()

    def stop(self) -> None:
        """Handle SIGTERM: be no longer ready, accept connections for a moment more, then finish."""
        if self.stopping_since is not None:
            return
        log.info("%s is stopping", self.config.name)
        self.stopping_since, self.server.stopping = self.loop.time(), True
        self.handover.publish_state(State.STOPPING)
        self._update_share()
        if self.inherited is not None and State.RUNNING in self.handover.other_states():
            # The newer process accepts what waits on the shared socket and all that follows.
            self.server.stop_listening()
            self._finish_beside_newer()
        else:
            self.loop.call_later(ACCEPT_AFTER_STOP_S, self._finish)

    def _finish_beside_newer(self) -> None:
        """Finish beside a newer process without closing connections on which a request may be in transit."""
        if self.loop.time() - self.stopping_since > self.max_stop_s - CLOSE_BEFORE_END_S:
            return self._finish()
        self.server.close_unused(time.monotonic() - UNUSED_S)
        if self.server.connections:
            self.loop.call_later(0.02, self._finish_beside_newer)
        else:
            self._finish()

    def _finish(self) -> None:
        self.server.stop_listening()
        self.server.close_unused(time.monotonic())
        is_late = self.loop.time() - self.stopping_since > self.max_stop_s + STOP_SLACK_S
        if is_late:
            self.host.fail_all()
        if is_late or not self.server.connections:
            # Lets the event loop write the last answers.
            self.loop.call_later(0.05, self._set_stopped)
        else:
            self.loop.call_later(0.02, self._finish)

    def _set_stopped(self) -> None:
        if not self.stopped.done():
            self.stopped.set_result(None)

    def close(self) -> None:
        """Close all sockets, also those in use."""
        for discovery in (self.discovery, self.new_discovery):
            if discovery is not None:
                discovery.stop()
        if self.operators is not None:
            self.operators.close()
        self.server.close()
        self.backends.close()
        self.handover.unregister()
        if self.counter is not None:
            self.counter.close()


async def serve(config: Config, path: str) -> None:
    """Run one ingress until a signal stops it."""
    loop = asyncio.get_running_loop()
    ingress = Ingress(loop, config, path)
    loop.add_signal_handler(signal.SIGHUP, ingress.reload)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, ingress.stop)
    await ingress.start()
    gc.collect()
    gc.freeze()  # objects that live as long as the process
    gc.set_threshold(*GC_THRESHOLDS)
    await ingress.stopped
    ingress.close()


def main() -> int:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(message)s"))
    logging.basicConfig(level=logging.INFO, handlers=[in_background(handler)])
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # the file is about to be read
    try:
        path = os.environ.get("BALANCER_CONFIG")
        if not path:
            raise ConfigError("BALANCER_CONFIG names no configuration")
        config = read_config(path)
    except ConfigError as error:
        print(f"fennelpoint: {error}", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(config, path))
    except ConfigError as error:
        print(f"fennelpoint: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"fennelpoint: listen: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
