"""A simulated machine, which runs the daemons as processes with a disk and clocks of its own."""

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
RESTART_DELAY_S = 1.0  # after the exit of a process that failed to start
LOADING_TIME_FACTORS = (0.8, 1.2)  # range of the random factor on the time to load a process
CLOCK_OFFSET_RANGE_S = (100.0, 100_000.0)  # range of monotonic clocks at the start
MEMORY_MB, MAX_DESCRIPTORS = 300, 4000  # resource limits of a process


class MachineContext(Protocol):
    """What a machine needs from the simulation."""

    world: World
    network: Network
    deployment: Deployment
    seeds: list[str]

    def later(self, delay: float, callback: Callable, *args: object) -> None:
        """Call back after `delay` s, outside of all simulated processes."""

    def say(self, event: str, **fields: object) -> None:
        """Log an event."""


class Machine:
    """A machine with a gateway and optionally a controller and a disk."""

    def __init__(
        self, simulation: MachineContext, name: str, zone: str, ip: str, has_controller: bool, has_disk: bool
    ) -> None:
        self.simulation, self.name, self.zone, self.ip = simulation, name, zone, ip
        self.serves_control = has_controller
        rng = simulation.world.random(f"machine/{name}")
        self.disk_image = DiskImage(rng) if has_disk else None
        self.http, self.readyz, self.ctl = f"{ip}:{HTTP_PORT}", f"{ip}:{READYZ_PORT}", f"{ip}:{CONTROL_PORT}"
        self.offset = rng.uniform(*CLOCK_OFFSET_RANGE_S)
        processor = simulation.deployment.processor
        self.drift = rng.uniform(-processor.drift, processor.drift)
        self.skew = rng.uniform(-processor.skew, processor.skew)
        self.processes: dict[str, Process] = {}
        self.daemons: dict[str, object] = {}
        self.incarnations: dict[str, int] = {}
        self.gateway_starts: list[float] = []  # start times of its gateway processes, in virtual time
        self.is_powered = True
        self.processor_time_s = 0.0  # of processes that have ended

    def roles(self, requested: str) -> list[str]:
        """Return the requested roles ("controller", "gateway" or "both") that this machine runs."""
        own_roles = ["controller", "gateway"] if self.serves_control else ["gateway"]
        return [role for role in own_roles if requested in (role, "both")]

    def settings(self, role: str, bootstrap: bool) -> settings_file.Settings:
        """Return the settings of a process of this machine."""
        deployment = self.simulation.deployment
        addresses = settings_file.Bind(http=self.http, readyz=self.readyz)
        if role == "controller":
            addresses = settings_file.Bind(ctl=self.ctl)
        return settings_file.Settings(
            hostname=self.name,
            ip=self.ip,
            az=self.zone,
            port_range=PEER_PORTS,
            seeds=self.simulation.seeds,
            bind=addresses,
            role=role,
            region="home",
            bootstrap=bootstrap,
            zones={zone.name: "home" for zone in deployment.zones},
            voting=self.disk_image is not None,
            limits=settings_file.Limits(mem_mb=MEMORY_MB, nofile=MAX_DESCRIPTORS),
            datadir="memory" if role == "controller" and self.disk_image is not None else "",
            hb=f"{deployment.hb:g}s",
            survive=settings_file.Survive(nodes=deployment.survive),
            bounds=_bounds(deployment.bounds),
        )

    def start(self, role: str, bootstrap: bool = False) -> None:
        """Start a process; its daemon is launched after a loading time."""
        if not self.is_powered or role in self.processes:
            return
        incarnation = self.incarnations[role] = self.incarnations.get(role, 0) + 1
        process = self.simulation.network.process(
            f"{role}:{self.name}/{incarnation}",
            self.ip,
            self.simulation.deployment.processor.callback,
            offset=self.offset,
            drift=self.drift,
            skew=self.skew,
        )
        self.processes[role] = process
        delay = self.simulation.deployment.processor.start * process.rng.uniform(*LOADING_TIME_FACTORS)
        process.loop.call_later(delay, self._launch, role, process, bootstrap)

    def _launch(self, role: str, process: Process, bootstrap: bool) -> None:
        settings = self.settings(role, bootstrap)
        try:
            if role == "controller":
                daemon = MemoryController(process, settings, self.disk_image, process.rng)
            else:
                daemon = GatewayDaemon(process.loop, settings, process.rng)
                self.gateway_starts.append(self.simulation.world.now)
        except Exception as error:  # any failure to start ends the process
            self.simulation.say("ended", error=repr(error))
            self.kill(role)
            self.simulation.later(RESTART_DELAY_S, self.start, role)
            return
        self.daemons[role] = daemon
        process.loop.create_task(daemon.start())

    def kill(self, role: str, silently: bool = False) -> None:
        """Kill a process; `silently` as at a power loss, when its peers are not told."""
        process, daemon = self.processes.pop(role, None), self.daemons.pop(role, None)
        if process is None:
            return
        self.processor_time_s += process.processor_time_s
        self.simulation.network.process_ended(process, silently)
        if isinstance(daemon, Controller) and daemon.disk is not None:
            daemon.disk.crash()

    def terminate(self, role: str, span: float) -> None:
        """Send SIGTERM, kill the process after the grace period, and restart it `span` after its exit."""
        process, daemon = self.processes.get(role), self.daemons.get(role)
        if daemon is None:
            return
        process.loop.call_soon(daemon.stop)

        def on_exit(_: object = None) -> None:
            if self.processes.get(role) is process:
                daemon.close()
                self.kill(role)
                self.simulation.later(span, self.start, role)

        daemon.stopped.add_done_callback(on_exit)
        self.simulation.later(self.simulation.deployment.bounds.grace, on_exit)

    def power_off(self) -> None:
        """Cut the power: its processes end, and packets to it are lost silently."""
        for role in list(self.processes):
            self.kill(role, silently=True)
        self.is_powered = False
        self.simulation.network.powered_off.add(self.ip)

    def power_on(self) -> None:
        """Restore the power, the links and the processes."""
        if not self.is_powered:
            self.is_powered = True
            self.simulation.network.powered_off.discard(self.ip)
            self.simulation.network.resume_links()
            for role in self.roles("both"):
                self.start(role)


def _bounds(bounds: Bounds) -> settings_file.Bounds:
    """Convert the bounds of a day to those of the settings."""
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
