"""Graceful stop of a controller, with and without a replacement that was started before, over in-memory links."""

import unittest
from unittest import mock

from crowseam.simulator.world.disk import DiskImage
from crowseam.simulator.world.patches import simulated_environment
from tests.crowseam import test_controller
from tests.crowseam.test_controller import SimulatedCluster, config

NEW_CONTROLLER_IP = "10.1.0.6"


class Leaving(unittest.TestCase):
    def setUp(self):
        for mapping in (test_controller.IPS, test_controller.CONTROL_ADDRS):
            patch = mock.patch.dict(mapping)
            patch.start()
            self.addCleanup(patch.stop)

    def voters(self, system, name):
        return sorted(voter.addr for voter in system.controllers[name].node.voters)

    def test_stopped_controller_leaves_the_voters_and_the_next_loss_is_tolerated(self):
        # time | r1           | r2         | r3   | r4
        # 3.0  |              |            |      | start
        # 7.5  |              |            | stop | a voter
        # then | kill as soon as r3 has ended; r2 takes a change
        system = SimulatedCluster(1)
        with simulated_environment(
            system.world, lambda event, **fields: self.assertFalse(event.endswith("failed"), fields)
        ):
            system.world.run(3.0)
            test_controller.IPS["r4"], test_controller.CONTROL_ADDRS["r4"] = (
                NEW_CONTROLLER_IP,
                f"{NEW_CONTROLLER_IP}:8407",
            )
            system.disk_images["r4"] = DiskImage(system.world.random("r4"))
            system.start("r4")
            system.world.run(7.5)
            self.assertEqual(len(self.voters(system, "r1")), 4)
            leaver = system.controllers["r3"]
            leaver.stop()
            while not leaver.stopped.done():
                system.world.run(system.world.now + 0.01)
            self.assertLess(system.world.now, 9.5)
            left = sorted(test_controller.CONTROL_ADDRS[name] for name in ("r1", "r2", "r4"))
            self.assertEqual(self.voters(system, "r2"), left)
            system.kill("r3")
            system.kill("r1")
            system.call("r2", "PUT", "/-/config", config(1, 0))
            system.world.run(system.world.now + 1.0)
            self.assertEqual(system.answers["r2"].status, 200)

    def test_one_of_three_stops_at_once_and_stays_a_voter(self):
        system = SimulatedCluster(1)
        with simulated_environment(
            system.world, lambda event, **fields: self.assertFalse(event.endswith("failed"), fields)
        ):
            system.world.run(3.0)
            system.controllers["r3"].stop()
            system.world.run(3.35)
            self.assertTrue(system.controllers["r3"].stopped.done())
            self.assertEqual(len(self.voters(system, "r1")), 3)
