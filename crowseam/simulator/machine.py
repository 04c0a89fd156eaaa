"""A machine of the simulation: its processes, its disk and its clock."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from crowseam import settings as settings_file
from crowseam.controller.daemon import Controller
from crowseam.gateway.daemon import Process as GatewayDaemon
from crowseam.simulator.memory_controller import MemoryController
from crowseam.simulator.scenario.day import Bounds, Deployment
from crowseam.simulator.world.disk import DiskImage
from crowseam.simulator.world.loop import Process, World
from crowseam.simulator.world.network import Network

HTTP_PORT, READYZ_PORT, CONTROL_PORT, PEER_PORTS = 8405, 8406, 8407, (7660, 7675)
RESTART = 1.0  # s until a process that ended is started again
LOADING_SPREAD = (0.8, 1.2)  # of the time that a process takes to load its code
CLOCK_OFFSET = (100.0, 100_000.0)  # s that a steady clock shows at the beginning
MEMORY_MB, DESCRIPTORS = 300, 4000  # limits of a process


class MachineContext(Protocol):
    """What a machine needs of the simulation it is in."""

    world: World
    network: Network
    deployment: Deployment
    seeds: list[str]

    def later(self, delay: float, callback: Callable, *args: object) -> None:
        """Call back after `delay` s, outside all processes."""

    def say(self, event: str, **fields: object) -> None:
        """Log an event."""


class Machine:
    """One machine: its processes, its disk and its clock."""

    def __init__(self, simulation: MachineContext, name: str, zone: str, ip: str, control: bool, disk: bool) -> None:
        self.simulation, self.name, self.zone, self.ip = simulation, name, zone, ip
        self.serves_control = control
        rng = simulation.world.random(f"machine/{name}")
        self.disk_image = DiskImage(rng) if disk else None
        self.http, self.readyz, self.ctl = f"{ip}:{HTTP_PORT}", f"{ip}:{READYZ_PORT}", f"{ip}:{CONTROL_PORT}"
        self.offset = rng.uniform(*CLOCK_OFFSET)
        processor = simulation.deployment.processor
        self.drift = rng.uniform(-processor.drift, processor.drift)
        self.skew = rng.uniform(-processor.skew, processor.skew)
        self.processes: dict[str, Process] = {}
        self.daemons: dict[str, object] = {}
        self.lives: dict[str, int] = {}
        self.started: list[float] = []  # when gateways of it began
        self.powered = True
        self.used = 0.0  # s of the processor by processes that have ended

    def roles(self, asked: str) -> list[str]:
        """Which of the processes asked for ("controller", "gateway", "both") this machine runs."""
        mine = ["controller", "gateway"] if self.serves_control else ["gateway"]
        return [role for role in mine if asked in (role, "both")]

    def settings(self, role: str, bootstrap: bool) -> settings_file.Settings:
        """The settings file of a process of this machine."""
        deployment = self.simulation.deployment
        names = settings_file.Bind(http=self.http, readyz=self.readyz)
        if role == "controller":
            names = settings_file.Bind(ctl=self.ctl)
        return settings_file.Settings(
            hostname=self.name,
            ip=self.ip,
            az=self.zone,
            port_range=PEER_PORTS,
            seeds=self.simulation.seeds,
            bind=names,
            role=role,
            region="home",
            bootstrap=bootstrap,
            zones={zone.name: "home" for zone in deployment.zones},
            voting=self.disk_image is not None,
            limits=settings_file.Limits(mem_mb=MEMORY_MB, nofile=DESCRIPTORS),
            datadir="memory" if role == "controller" and self.disk_image is not None else "",
            hb=f"{deployment.hb:g}s",
            survive=settings_file.Survive(nodes=deployment.survive),
            bounds=_bounds(deployment.bounds),
        )

    def start(self, role: str, bootstrap: bool = False) -> None:
        """The platform starts the process; its code takes a while to load."""
        if not self.powered or role in self.processes:
            return
        life = self.lives[role] = self.lives.get(role, 0) + 1
        process = self.simulation.network.process(
            f"{role}:{self.name}/{life}",
            self.ip,
            self.simulation.deployment.processor.callback,
            offset=self.offset,
            drift=self.drift,
            skew=self.skew,
        )
        self.processes[role] = process
        delay = self.simulation.deployment.processor.start * process.rng.uniform(*LOADING_SPREAD)
        process.loop.call_later(delay, self._begin, role, process, bootstrap)

    def _begin(self, role: str, process: Process, bootstrap: bool) -> None:
        settings = self.settings(role, bootstrap)
        try:
            if role == "controller":
                daemon = MemoryController(process, settings, self.disk_image, process.rng)
            else:
                daemon = GatewayDaemon(process.loop, settings, process.rng)
                self.started.append(self.simulation.world.now)
        except Exception as error:  # a process that can't start ends, whatever the reason
            self.simulation.say("ended", error=repr(error))
            self.kill(role)
            self.simulation.later(RESTART, self.start, role)
            return
        self.daemons[role] = daemon
        process.loop.create_task(daemon.start())

    def kill(self, role: str, silently: bool = False) -> None:
        """SIGKILL, or with the machine's power."""
        process, daemon = self.processes.pop(role, None), self.daemons.pop(role, None)
        if process is None:
            return
        self.used += process.used
        self.simulation.network.ended(process, silently)
        if isinstance(daemon, Controller) and daemon.disk is not None:
            daemon.disk.cut_short()

    def terminate(self, role: str, span: float) -> None:
        """SIGTERM, SIGKILL after the grace, and a new start `span` after the end."""
        process, daemon = self.processes.get(role), self.daemons.get(role)
        if daemon is None:
            return
        process.loop.call_soon(daemon.stop)

        def ended(_: object = None) -> None:
            if self.processes.get(role) is process:
                daemon.close()
                self.kill(role)
                self.simulation.later(span, self.start, role)

        daemon.stopped.add_done_callback(ended)
        self.simulation.later(self.simulation.deployment.bounds.grace, ended)

    def power_off(self) -> None:
        """The machine loses power: its processes end, and links to it are silent."""
        for role in list(self.processes):
            self.kill(role, silently=True)
        self.powered = False
        self.simulation.network.off.add(self.ip)

    def power_on(self) -> None:
        """Power is back: links work again, and the platform starts the processes."""
        if not self.powered:
            self.powered = True
            self.simulation.network.off.discard(self.ip)
            self.simulation.network.look()
            for role in self.roles("both"):
                self.start(role)


def _bounds(bounds: Bounds) -> settings_file.Bounds:
    """The bounds of a day as the settings file has them."""
    return settings_file.Bounds(
        contact=f"{bounds.contact:g}s",
        ack=f"{bounds.ack:g}s",
        sync_time=f"{bounds.sync_time:g}s",
        drain=f"{bounds.drain:g}s",
        grace=f"{bounds.grace:g}s",
        apply=f"{bounds.apply:g}s",
        retry_ratio=bounds.retry_ratio,
        retry_window=f"{bounds.retry_window:g}s",
        retry_slack=bounds.retry_slack,
        quota_window=f"{bounds.quota_window:g}s",
        quota_excess=bounds.quota_excess,
        quota_slack=bounds.quota_slack,
    )
