"""`python -m fennelpoint` runs one ingress: its configuration, its signals, its start and stop."""

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
from fennelpoint.net.backends import Backends
from fennelpoint.net.counter import Counter
from fennelpoint.net.discovery import Address, Discovery, Listing, parse_address, parse_list
from fennelpoint.net.flow import Budget
from fennelpoint.net.handover import Handover, State
from fennelpoint.net.host import Host
from fennelpoint.net.notice import in_background, log
from fennelpoint.net.operators import MOST_CALLERS, Operators
from fennelpoint.net.reader import Reader
from fennelpoint.net.server import Server
from fennelpoint.settings import from_json

SWEEP = 0.25  # s between looks at idle connections
LIST_WAIT = 1.0  # s for an agent to answer before the list known from before will do
ACCEPT_ON = 0.5  # s that connections are still taken after SIGTERM: the front learns late
LONGEST_STOP, STOP_SLACK = 3.0, 0.4  # s after SIGTERM by which all is answered: the longest deadline, this at
# most, and the slack; SIGKILL comes 0.3 s later
LAST_TAKEN = 0.5  # s before the longest deadline is over: from then on a stopping process takes nothing
UNUSED = 2.0  # s that a connection stands unused before it is closed beside a newer process
SOCKETS = 1024  # descriptors, where the configuration tells no limit
MEMORY_MB = 128  # where the configuration tells no limit
RESERVED = 32  # of them for files, the loop, discovery, the counter and the listener
GC_THRESHOLDS = (10_000, 20, 50)  # nearly all is freed by count: cycles are looked for more rarely
# Of the rest, for upstream connections and for clients: alone, beside an older process, beside a newer one.
# An older one can't shed what is open, but it takes nothing more and needs less by the moment.
ROOM = {"alone": (0.4, 0.6), "newer": (0.25, 0.38), "older": (0.15, 0.22)}
STOPPING_PART, STAYING_PART, EVEN_PART = 0.25, 0.75, 0.5  # of the allowances, while there are two processes


class ConfigError(Exception):
    """The configuration can't be used; the text names the field."""


@dataclass(slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    sockets: int
    settings: api.Settings
    known: Listing | None
    mgmt: Address | None = None  # the second address, for operators
    listen_fd: int | None = None  # the platform's listening socket, which is to be used in place of an own
    memory_mb: float = MEMORY_MB
    folder: str | None = None  # where the processes of this ingress leave word for one another


def read_config(path: str) -> Config:
    """The configuration from its file, checked."""
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
        sockets = limits.get("sockets", SOCKETS) if isinstance(limits, dict) else None
        if isinstance(sockets, bool) or not isinstance(sockets, int) or sockets < 2 * RESERVED:
            raise ConfigError(f"configuration: limits.sockets: {sockets!r} is not {2 * RESERVED} or more")
        memory = limits.get("memory_mb", MEMORY_MB)
        if isinstance(memory, bool) or not isinstance(memory, int | float) or not 0.0 < memory < math.inf:
            raise ConfigError(f"configuration: limits.memory_mb: {memory!r} is not a size")
        known, mgmt = value.get("known"), value.get("mgmt", os.environ.get("BALANCER_MGMT"))
        return Config(
            str(value.get("name", "")),
            parse_address(value.get("listen"), "listen"),
            parse_address(value.get("discovery"), "discovery"),
            parse_address(counter, "counter") if counter is not None else None,
            read_seed(value.get("seed")),
            sockets,
            settings,
            parse_list(known, settings, where="known") if known is not None else None,
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
    """The number of a descriptor, where the platform names one."""
    if not value:
        return None
    if not (value.isascii() and value.isdigit()):
        raise ConfigError(f"BALANCER_LISTEN_FD: {value!r} is not a descriptor")
    return int(value)


def inherited(descriptor: int) -> socket.socket:
    """The socket that the platform listens on."""
    try:
        shared = socket.socket(fileno=descriptor)
        if not shared.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise ConfigError(f"BALANCER_LISTEN_FD: {descriptor} does not listen")
    except OSError as error:
        raise ConfigError(f"BALANCER_LISTEN_FD: {descriptor}: {error}") from None
    return shared


class Ingress:
    """The parts of a running ingress and the order in which they start and stop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, path: str = "") -> None:
        settings = config.settings
        self.loop, self.config, self.path, self.stopped = loop, config, path, loop.create_future()
        self.shared = inherited(config.listen_fd) if config.listen_fd is not None else None
        self.handover = Handover(config.folder, config.name)
        self.place, self.listening = "alone", False
        upstream, clients = self._room()
        self.backends = Backends(
            loop,
            upstream,
            settings.connect_timeout,
            settings.idle_close,
            min(c.aim for c in settings.classes),
            Budget(config.memory_mb),
        )
        self.counter = (
            Counter(loop, *config.counter, settings.counter_timeout)
            if (config.counter is not None and settings.has_counter)
            else None
        )
        self.host = Host(loop, settings, config.seed, self.backends, self.counter)
        self.discovery = Discovery(loop, config.discovery, settings, self.follow, config.seed)
        self.coming: Discovery | None = None  # a new discovery that has not told its list yet
        self.server = Server(loop, self.host, clients, Reader(config.settings))
        self.operators = Operators(loop, self) if config.mgmt is not None else None
        self.opening: asyncio.Task | None = None
        self.stopping_since: float | None = None
        self.longest = min(LONGEST_STOP, max(c.deadline for c in settings.classes))

    def _room(self) -> tuple[int, int]:
        """Descriptors for upstream connections and for clients."""
        reserved = RESERVED
        if self.config.mgmt is not None:
            reserved += MOST_CALLERS + 1  # whatever the load, an operator can call
        room, (upstream, clients) = self.config.sockets - reserved, ROOM[self.place]
        return max(1, int(room * upstream)), max(1, int(room * clients))

    async def start(self) -> None:
        self.handover.appear()
        self._share()
        self._take_bans()
        if self.operators is not None:
            await self.operators.listen(self.config.mgmt)
        if (known := self.config.known) is not None:
            known.roster.kind = api.RosterKind.CACHED
            self.discovery.take(known)
        if self.shared is None or self.place == "alone":
            await self._listen()
        self.discovery.start()
        # Where discovery is asked, the first call may be put off for long: nothing is waited for.
        asked = self.config.settings.discovery == "ask"
        self.loop.call_later(0.0 if asked else LIST_WAIT, self._go_by_known)
        self.loop.call_later(SWEEP, self._sweep)

    async def _listen(self) -> None:
        self.listening = True
        await self.server.listen(self.config.listen if self.shared is None else self.shared)
        if self.host.ready:
            self.handover.say(State.RUNNING)

    def _share(self) -> None:
        """Split what the ingress may use with another process of it, as long as there is one."""
        others = self.handover.others()
        starting = self.stopping_since is None and not (self.listening and self.host.ready)
        if not others:
            self.place = "alone"
        elif self.place == "alone":
            self.place = "newer" if starting else "older"
        if all(state is State.STARTING for state in others):
            part = 1.0
        elif self.stopping_since is not None:
            part = STOPPING_PART
        else:
            part = STAYING_PART if State.STOPPING in others else EVEN_PART
        self.backends.most, self.server.most = self._room()
        self.host.take_part(part)

    def _take_bans(self) -> None:
        """Follow what another process of this ingress, or the one before, was told by operators."""
        bans, ours = self.handover.changed_bans(), self.host.withdrawn
        for backend in bans - ours if bans is not None else ():
            self.host.withdraw(backend)
        for backend in ours - bans if bans is not None else ():
            self.host.restore(backend)

    def follow(self, roster: api.Roster, addresses: dict[str, Address]) -> None:
        self.host.follow(roster, addresses)
        if roster.kind is not api.RosterKind.CACHED:
            self._set_ready()

    # What operators may ask for.

    def takes_clients(self) -> bool:
        return self.server.ready

    def metrics(self) -> bytes:
        return self.host.render_figures()

    def suspend(self, backend: str) -> bool:
        return self._ban(backend, self.host.withdraw)

    def resume(self, backend: str) -> bool:
        return self._ban(backend, self.host.restore)

    def _ban(self, backend: str, change: Callable[[str], None]) -> bool:
        if not self.host.names(backend):
            return False
        self._take_bans()  # what the other process was told just now is not to be undone
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
        """SIGHUP: go over to the discovery and the counter that the file names now; the rest stays.

        A file that can't be used changes nothing.  It may come again at any time.
        """
        if self.stopping_since is not None:
            return
        try:
            config = read_config(self.path)
        except ConfigError as error:
            return log.error("%s keeps its configuration: %s", self.config.name, error)
        log.info("%s reads its configuration anew", config.name)
        if self.counter is not None and config.counter is not None:
            self.counter.move(*config.counter)
        if self.coming is not None:
            self.coming.stop()
            self.coming = None
        if config.discovery != self.discovery.address:
            # Guards against a gap in the watch: the old one goes on until the new one's list is here.  The
            # new one has revisions of its own, so it is asked for the whole of it.
            self.coming = Discovery(
                self.loop, config.discovery, self.config.settings, self._go_over, self.config.seed
            )
            self.coming.known = self.discovery.known
            self.coming.start()

    def _go_over(self, roster: api.Roster, addresses: dict[str, Address]) -> None:
        """The first list of a new discovery: from now on it is the one to go by."""
        self.discovery.stop()
        self.discovery, self.coming = self.coming, None
        self.discovery.follow = self.follow
        self.follow(roster, addresses)

    def _set_ready(self) -> None:
        if not self.host.ready:
            self.host.ready = True
            log.info("%s is ready", self.config.name)
            if not self.listening:  # beside an older process, which served until now
                self.opening = self.loop.create_task(self._listen())
            elif self.server.listener is not None:
                self.handover.say(State.RUNNING)

    def _go_by_known(self) -> None:
        """A restart while discovery is down goes on with the list that was known."""
        if self.discovery.known:
            self._set_ready()

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP, self._sweep)
        self._share()
        self._take_bans()
        if not self.listening and self.place == "alone" and self.stopping_since is None:
            self.opening = self.loop.create_task(self._listen())  # the older process is gone
        self.server.sweep()
        self.backends.sweep()
        if self.counter is not None:
            self.counter.sweep()

    def stop(self) -> None:
        """SIGTERM: not ready from now on; take what still comes for a moment, then finish."""
        if self.stopping_since is not None:
            return
        log.info("%s stops", self.config.name)
        self.stopping_since, self.server.stopping = self.loop.time(), True
        self.handover.say(State.STOPPING)
        self._share()
        if self.shared is not None and State.RUNNING in self.handover.others():
            # What waits to be accepted is the newer process's, and clients can only come to that one.
            self.server.stop_listening()
            self._finish_beside()
        else:
            self.loop.call_later(ACCEPT_ON, self._finish)

    def _finish_beside(self) -> None:
        """Finish beside a newer process: no connection is closed that a request may be on its way on."""
        if self.loop.time() - self.stopping_since > self.longest - LAST_TAKEN:
            return self._finish()
        self.server.close_unused(time.monotonic() - UNUSED)
        if self.server.connections:
            self.loop.call_later(0.02, self._finish_beside)
        else:
            self._finish()

    def _finish(self) -> None:
        self.server.stop_listening()
        self.server.close_unused(time.monotonic())
        late = self.loop.time() - self.stopping_since > self.longest + STOP_SLACK
        if late:
            self.host.fail_all()
        if late or not self.server.connections:
            # One turn of the loop more, so that the last answers are written.
            self.loop.call_later(0.05, self._end)
        else:
            self.loop.call_later(0.02, self._finish)

    def _end(self) -> None:
        if not self.stopped.done():
            self.stopped.set_result(None)

    def close(self) -> None:
        """Leave every socket, whatever is open."""
        for discovery in (self.discovery, self.coming):
            if discovery is not None:
                discovery.stop()
        if self.operators is not None:
            self.operators.close()
        self.server.close()
        self.backends.close()
        self.handover.leave()
        if self.counter is not None:
            self.counter.close()


async def serve(config: Config, path: str) -> None:
    """Run one ingress until it is told to stop."""
    loop = asyncio.get_running_loop()
    ingress = Ingress(loop, config, path)
    loop.add_signal_handler(signal.SIGHUP, ingress.reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ingress.stop)
    await ingress.start()
    gc.collect()
    gc.freeze()  # what lives as long as the process needn't be looked at again
    gc.set_threshold(*GC_THRESHOLDS)
    await ingress.stopped
    ingress.close()


def main() -> int:
    lines = logging.StreamHandler(sys.stderr)
    lines.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(message)s"))
    logging.basicConfig(level=logging.INFO, handlers=[in_background(lines)])
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # the file is about to be read anyway
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
