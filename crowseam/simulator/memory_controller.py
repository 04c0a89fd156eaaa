"""The controller daemon on a simulated disk."""

from __future__ import annotations

from random import Random

from crowseam import settings as settings_file
from crowseam.controller.daemon import Controller
from crowseam.simulator.world.disk import DiskImage, MemoryDisk, MemoryStore
from crowseam.simulator.world.loop import Process


class MemoryController(Controller):
    """A controller whose store and disk writer are simulated."""

    writer_type = MemoryDisk

    def __init__(
        self, process: Process, settings: settings_file.Settings, disk_image: DiskImage | None, rng: Random
    ) -> None:
        self.store_type = lambda path: MemoryStore(disk_image)
        super().__init__(process.loop, settings, None, rng)
