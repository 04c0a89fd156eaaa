"""Control traffic and processing cost by size."""

import contextlib
import io
import unittest

from crowseam.capacity import code_measures, curves
from crowseam.capacity.message_costs import Deployment, costs
from crowseam.cli.dispatch import run


class ScaleTest(unittest.TestCase):
    def test_cost_grows_with_gateways_for_a_controller_but_not_for_a_gateway(self):
        small, large = (costs(Deployment(gateways, 33, 8, 6, 1.3)) for gateways in (14, 140))
        self.assertAlmostEqual(sum(small.gateway.values()), sum(large.gateway.values()), delta=5.0)
        self.assertGreater(large.controller["relayed leases"], 9 * small.controller["relayed leases"])
        self.assertEqual(small.controller["heartbeats"], large.controller["heartbeats"])

    def test_each_byte_of_the_fleet_is_counted_once(self):
        deployment_costs = costs(Deployment(12, 40, 8, 3, 1.0))
        ends = 12 * sum(deployment_costs.gateway.values()) + 3 * sum(deployment_costs.controller.values())
        outside = 40 / 1.0 * 420  # only one end of a heartbeat is in the system
        self.assertAlmostEqual((ends + outside) / 2, sum(deployment_costs.fleet.values()), delta=1.0)

    def test_an_invalid_number_is_one_line_and_exit_code_2(self):
        with contextlib.redirect_stderr(io.StringIO()) as stderr:
            self.assertEqual(run(["scale", "--gateways=many"]), 2)
        self.assertEqual(stderr.getvalue().count("\n"), 1)
        self.assertIn("--gateways", stderr.getvalue())


class CurveTest(unittest.TestCase):
    def test_curves_show_the_limits_of_a_deployment(self):
        small, large = (curves.row(size) for size in (curves.SIZES[0], curves.SIZES[-1]))
        self.assertAlmostEqual(small["gateway_kB_s"], large["gateway_kB_s"], delta=0.2)
        self.assertGreater(large["mass_start_s_2"], 49 * large["mass_start_s_100"])
        # Subsetting leaves each gateway a larger share of a server's connections.
        self.assertGreater(large["server_each"], 10 * curves.SERVER_MAX_CONNECTIONS / large["server_gateways_all"])
        rates = [curves.even_lease_rate(gateways) for gateways in (10, 160, 1000)]
        self.assertAlmostEqual(rates[0], 0.65 * curves.QUOTA_PER_S / 10, delta=0.01)
        self.assertTrue(rates[0] > rates[1] > rates[2] == 0.0)

    def test_each_measure_runs(self):
        processor_times = code_measures.measure_processor_times(0.0, (17, 250), curves.SIZES[:1], 1)
        self.assertEqual(len(processor_times), 2 * 3 + 9)
        (memory_row,) = code_measures.measure_memory(curves.SIZES[:1])
        self.assertTrue(all(each > 0 for each in memory_row.values()))
