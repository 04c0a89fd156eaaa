"""Changes of voters: single rules by hand, and the model check with its mutants."""

from __future__ import annotations

import unittest

from folio.consensus.check import World


def voting(world: World) -> list[str]:
    """The addresses of the voters in force."""
    return sorted(voter.addr for voter in world.voters[max(world.chosen, default=0)])


class Asking(unittest.TestCase):
    def test_one_that_is_not_ready_does_not_ask_to_join(self):
        world = World(1, ["m0", "m1", "m2"])
        world.start("m3")
        node = world.hosts["m3"].node
        node.ready = False
        world.run_until(5.0)
        self.assertEqual(voting(world), ["m0", "m1", "m2"])
        self.assertEqual(node.last, max(world.chosen, default=0))
        node.ready = True
        world.run_until(7.0)
        self.assertEqual(voting(world), ["m0", "m1", "m2", "m3"])
