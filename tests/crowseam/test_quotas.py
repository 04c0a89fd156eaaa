"""The model check of quota leases: the code keeps its invariants, and mutants are detected."""

import unittest
from contextlib import redirect_stderr, redirect_stdout
from io import StringIO

from crowseam.cli import dispatch, model_check
from crowseam.membership.role_holders import preferred_holder
from crowseam.model_checks.quotas.check import (
    KEY,
    AcceptsAnyFencingToken,
    Parts,
    QuotaReport,
    Violation,
    WithoutBorrowerLists,
    World,
    metrics,
    run,
)
from crowseam.quotas.admission import TenantTerms
from crowseam.quotas.lease_grantor import GrantorTerms


class CheckTest(unittest.TestCase):
    def test_no_schedule_breaks_a_rule(self):
        for gateways, seeds, steps in ((3, range(4), 30), (14, range(100, 102), 30), (96, range(1), 3)):
            report = run(seeds, steps, gateways=gateways)
            self.assertEqual(report.violations, [])
            self.assertGreater(report.outcomes["takeovers"], 0)
            self.assertLessEqual(report.peaks[gateways].ratio, 1.0)
            self.assertTrue(metrics(report))

    def test_a_seed_plays_the_same_each_time(self):
        one, other = run([3], 8, gateways=3), run([3], 8, gateways=3)
        self.assertEqual((one.events, one.peaks), (other.events, other.peaks))

    def test_planted_faults_are_found(self):
        expected_texts = {
            "a lowering": "sum to",
            "one holder": "hold the duty",
            "margin": "hold the duty",
            "the fence at the gateway": "obeys fence",
            "the extra": "the rule allows",
            "the reserve": "the rule allows",
        }
        mutants = model_check.run_known_mutants("quotas")
        self.assertGreaterEqual(len(mutants), 12)
        for mutant, violations in mutants:
            with self.subTest(without=mutant.guard):
                (violation,) = violations or [""]
                self.assertIn(f"seed {mutant.seed} ", violation)
                # Mutants that concern borrowers are detected by the sum of the shares.
                self.assertIn(
                    next((expected_texts[each] for each in expected_texts if each in mutant.guard), "sum to"), violation
                )


class CommandTest(unittest.TestCase):
    def test_the_part_is_chosen_by_name(self):
        for part, expected_code, expected_text in (
            ("quotas", 0, "of the allowed"),
            ("both", 0, "taken"),
            ("x", 2, "none of"),
        ):
            output = StringIO()
            with redirect_stdout(output), redirect_stderr(output):
                exit_code = dispatch.run(["model-check", f"--part={part}", "--seeds=1", "--steps=3"])
            self.assertEqual(exit_code, expected_code)
            self.assertIn(expected_text, output.getvalue())


class DrawnTest(unittest.TestCase):
    """Timelines on the simulated system of the model check."""

    def world(self, parts: Parts) -> World:
        tenants = {name: TenantTerms(20.0, 20.0) for name in ("small", "large", "modest")}
        return World(1, 3, 3, tenants, parts, QuotaReport(), drift=0.0)

    def play_uneven_clocks(self, margin_s: float, cut_at: float) -> None:
        """d0's clock is 1% slow, all others are 1% fast; d0 is partitioned until its share has been reassigned."""
        world = self.world(Parts(terms=GrantorTerms(reserve_fraction=0.35, min_idle_rate=0.05, margin_s=margin_s)))
        for name, clock in world.clocks.items():
            clock.speed = 0.99 if name == "d0" else 1.01
        for name in ("d0", "d1", "d2"):
            world.demand[name, "large"] = 30.0
        world.run_until(cut_at)
        for name in world.controller_names:
            world.partition("d0", name, 20.0)
        world.run_until(cut_at + 10.0)

    def test_clocks_that_differ_by_two_percent_need_the_margin(self):
        times = [7.5 + step * 0.06 for step in range(20)]  # the grantor sweeps expired leases every 0.25 s
        for cut_at in times:
            self.play_uneven_clocks(0.4, cut_at)
        with self.assertRaisesRegex(Violation, "sum to"):
            for cut_at in times:
                self.play_uneven_clocks(0.0, cut_at)

    def play_lost_together(self, parts: Parts) -> None:
        """A grantor fails together with a gateway whose lease is unknown to the next grantor.

        t (s)  d0                             holder       successor              relay (controller of d0)
        3      ends                           grants       partitioned from the relay
        16     returns there, gets a lease    grants                              relays the messages
        22     partitioned, keeps its lease   fails        acquires the role
        """
        tenants = {name: TenantTerms(20.0, 20.0) for name in ("small", "large", "modest")}
        world = World(1, 3, 5, tenants, parts, QuotaReport(), drift=0.0)
        world.run_until(3.0)
        holder = next(name for name, controller in world.controllers.items() if controller.grantor is not None)
        successor = preferred_holder(KEY, set(world.controller_names) - {holder})
        relay = next(name for name in world.controller_names if name not in (holder, successor))
        world.gateway_processes.pop("d0")
        world.partition(relay, successor, 60.0)
        for name in world.controller_names:
            if name != relay:
                world.partition("d0", name, 60.0)
        world.run_until(16.0)
        for name in world.gateways:
            world.demand[name, "large"] = 60.0 if name == "d0" else 0.0
        world.start_gateway("d0")
        world.run_until(22.0)
        self.assertGreater(
            world.gateway_processes["d0"].leases.share("large", world.gateway_processes["d0"].clock()), 0.3
        )
        del world.controllers[holder]
        world.partition("d0", relay, 60.0)
        for name in world.gateways:
            world.demand[name, "large"] = 60.0
        world.run_until(24.5)
        self.assertIsNotNone(world.controllers[successor].grantor)
        world.run_until(40.0)

    def test_a_grantor_and_a_gateway_that_only_it_knew_are_lost_together(self):
        self.play_lost_together(Parts())
        with self.assertRaisesRegex(Violation, "sum to"):
            self.play_lost_together(Parts(role_leases=WithoutBorrowerLists))

    def play_late_lease(self, parts: Parts) -> int:
        """A lease of the previous grantor arrives after the gateway has heard from its successor."""
        world = self.world(parts)
        world.run_until(3.0)
        gateway = world.gateway_processes["d0"]
        old_grantor = next(
            controller.grantor for controller in world.controllers.values() if controller.grantor is not None
        )
        late_lease = old_grantor.report(
            "d0", {"large": 1.0}, gateway.leases.report(gateway.clock()), old_grantor._next_sweep_at
        )
        holder = next(controller for controller in world.controllers.values() if controller.grantor is old_grantor)
        del world.controllers[holder.name]
        world.run_until(7.0)
        self.assertGreater(gateway.highest_fencing_token, late_lease.fencing_token)
        gateway.on_lease(late_lease)
        return gateway.leases.fencing_token

    def test_a_late_lease_is_refused(self):
        self.assertGreater(self.play_late_lease(Parts()), 0)
        with self.assertRaisesRegex(Violation, "obeys fence"):
            self.play_late_lease(Parts(holdings=AcceptsAnyFencingToken))


if __name__ == "__main__":
    unittest.main()
