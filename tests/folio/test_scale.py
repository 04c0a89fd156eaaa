"""What control costs by size."""

import contextlib
import io
import unittest

from folio.reference.dispatch import run
from folio.reference.scale import costs


class ScaleTest(unittest.TestCase):
    def test_a_registry_costs_more_with_desks_and_a_desk_does_not(self):
        small, large = (costs(desks, 33, 8, 6, 1.3) for desks in (14, 140))
        self.assertAlmostEqual(sum(small["desk"].values()), sum(large["desk"].values()), delta=5.0)
        self.assertGreater(large["registry"]["relayed leases"], 9 * small["registry"]["relayed leases"])
        self.assertEqual(small["registry"]["beats"], large["registry"]["beats"])

    def test_every_byte_of_the_fleet_is_counted_once(self):
        found = costs(12, 40, 8, 3, 1.0)
        ends = 12 * sum(found["desk"].values()) + 3 * sum(found["registry"].values())
        outside = 40 / 1.0 * 420    # beats have one end in the system
        self.assertAlmostEqual((ends + outside) / 2, sum(found["fleet"].values()), delta=1.0)

    def test_a_bad_number_is_one_line_and_exit_code_2(self):
        with contextlib.redirect_stderr(io.StringIO()) as told:
            self.assertEqual(run(["scale", "--desks=many"]), 2)
        self.assertEqual(told.getvalue().count("\n"), 1)
        self.assertIn("--desks", told.getvalue())
