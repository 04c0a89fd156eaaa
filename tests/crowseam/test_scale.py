"""What control costs by size."""

import contextlib
import io
import unittest

from crowseam.capacity import code_measures, curves
from crowseam.capacity.message_costs import Deployment, costs
from crowseam.cli.dispatch import run


class ScaleTest(unittest.TestCase):
    def test_a_controller_costs_more_with_gateways_and_a_gateway_does_not(self):
        small, large = (costs(Deployment(gateways, 33, 8, 6, 1.3)) for gateways in (14, 140))
        self.assertAlmostEqual(sum(small.gateway.values()), sum(large.gateway.values()), delta=5.0)
        self.assertGreater(large.controller["relayed leases"], 9 * small.controller["relayed leases"])
        self.assertEqual(small.controller["heartbeats"], large.controller["heartbeats"])

    def test_every_byte_of_the_fleet_is_counted_once(self):
        found = costs(Deployment(12, 40, 8, 3, 1.0))
        ends = 12 * sum(found.gateway.values()) + 3 * sum(found.controller.values())
        outside = 40 / 1.0 * 420  # heartbeats have one end in the system
        self.assertAlmostEqual((ends + outside) / 2, sum(found.fleet.values()), delta=1.0)

    def test_a_bad_number_is_one_line_and_exit_code_2(self):
        with contextlib.redirect_stderr(io.StringIO()) as told:
            self.assertEqual(run(["scale", "--gateways=many"]), 2)
        self.assertEqual(told.getvalue().count("\n"), 1)
        self.assertIn("--gateways", told.getvalue())


class CurveTest(unittest.TestCase):
    def test_the_curves_say_what_a_site_is_bound_by(self):
        small, large = (curves.row(size) for size in (curves.SIZES[0], curves.SIZES[-1]))
        self.assertAlmostEqual(small["gateway_kB_s"], large["gateway_kB_s"], delta=0.2)
        self.assertGreater(large["mass_start_s_2"], 49 * large["mass_start_s_100"])
        # A gateway that considers a part of the servers leaves each of them more of its connections.
        self.assertGreater(large["server_each"], 10 * curves.MAXCONN / large["server_gateways_all"])
        slices = [curves.even_slice(gateways) for gateways in (10, 160, 1000)]
        self.assertAlmostEqual(slices[0], 0.65 * curves.QUOTA / 10, delta=0.01)
        self.assertTrue(slices[0] > slices[1] > slices[2] == 0.0)

    def test_each_measure_runs_on_the_real_code(self):
        spent = code_measures.processor(0.0, (17, 250), curves.SIZES[:1], 1)
        self.assertEqual(len(spent), 2 * 3 + 9)
        (kept,) = code_measures.memory(curves.SIZES[:1])
        self.assertTrue(all(each > 0 for each in kept.values()))
