"""A gateway that has just started: requests do not wait for its first leases, and rejections say when to retry.

Each line of a timeline has the time in seconds, an action, and then one word for each request so far: it was sent, or
has this status.
"""

import types
import unittest
from random import Random
from unittest import mock

from crowseam import clock
from crowseam.gateway.gateway import MIN_STARTUP_RETRY_AFTER_S, STARTUP_PERIOD_S, Gateway
from crowseam.quotas.admission import TenantTerms
from crowseam.quotas.gateway_leases import GatewayLeases
from crowseam.quotas.lease_messages import SHARE_UNITS, QuotaLease
from crowseam.quotas.shards import ROLE_KEYS, shard_of
from crowseam.settings import Bind, Settings

TARGET_S = 0.4


class Loop:
    """Timers of the gateway, run manually."""

    def __init__(self):
        self.timers = []

    def call_later(self, delay, callback, *args):
        handle = mock.Mock(cancelled=False)
        handle.cancel = lambda: setattr(handle, "cancelled", True)
        self.timers.append((clock.monotonic() + delay, handle, callback, args))
        return handle

    def run(self, now):
        due = [timer for timer in self.timers if timer[0] <= now + 1e-9]
        self.timers = [timer for timer in self.timers if timer[0] > now + 1e-9]
        for _, handle, callback, args in due:
            if not handle.cancelled:
                callback(*args)


class FirstLeaseTest(unittest.TestCase):
    def play(self, timeline):
        self.now, self.share = 100.0, None
        loop = Loop()
        with mock.patch.object(clock, "monotonic", lambda: self.now):
            settings = Settings("edge-1", "10.1.0.1", "z", (7660, 7675), ["10.1.0.1:8407"], Bind())
            gateway = Gateway(loop, settings, Random(1), 10)
            gateway.lease_share = lambda tenant, now: self.share
            gateway.lease_remaining_s = lambda tenant, now: 8.0
            gateway.gateway_count = 12
            gateway.draw_reserve = lambda tenant, count, done: done(0, 0.1)
            tenant = TenantTerms(50.0, 50.0, 1)
            gateway.configure(mock.Mock(tenants={"t": tenant}, routes={}, svcs={}))
            gateway.balancer._send = lambda t, now: []  # a server is always available
            route = types.SimpleNamespace(
                name="r", target=TARGET_S, split=(("a", 1.0),), safe=True, prio=0, tries=1, pick=lambda draw: "a"
            )
            clients = []
            for line in filter(None, map(str.strip, timeline.splitlines())):
                time_s, action, *expected = line.split()
                self.now = 100.0 + float(time_s)
                gateway.update_shares(self.now)
                loop.run(self.now)
                if action == "ask":
                    clients.append(mock.Mock())
                    gateway.admit(
                        clients[-1],
                        mock.Mock(txn=b"%d" % len(clients), route=route, tenant="t", time_left=2.0, upload=None),
                    )
                elif action == "lent":
                    self.share = 0.5
                    gateway.on_lease_granted()
                outcomes = []
                for client in clients:
                    call = client.send_answer.call_args
                    outcomes.append("sent" if call is None else str(call.args[0]))
                self.assertEqual(outcomes, expected, line)
        return clients

    def test_requests_without_a_share_are_rejected_at_once_with_retry_after(self):
        clients = self.play("""
            0.1    ask    429
            0.15   lent   429
            0.25   ask    429  sent
        """)
        fields = dict(clients[0].send_answer.call_args.args[1])
        self.assertGreaterEqual(float(fields[b"retry-after"]), MIN_STARTUP_RETRY_AFTER_S)

    def test_the_retry_budget_is_divided_by_the_number_of_gateways_from_the_start(self):
        with mock.patch.object(clock, "monotonic", lambda: 100.0):
            settings = Settings("edge-1", "10.1.0.1", "z", (7660, 7675), ["10.1.0.1:8407"], Bind(), bootstrap=True)
            gateway = Gateway(Loop(), settings, Random(1), 10)
            for members, free in ((0, False), (12, True)):
                gateway.gateway_count = members
                gateway.update_shares(100.0)
                self.assertEqual(gateway.budget.may_retry("a", 100.0), free, members)

    def test_a_gateway_past_its_start_rejects_at_once_with_a_short_wait(self):
        clients = self.play(f"""
            {STARTUP_PERIOD_S + 0.1}   ask   429
        """)
        self.assertLess(
            float(dict(clients[0].send_answer.call_args.args[1])[b"retry-after"]), MIN_STARTUP_RETRY_AFTER_S
        )


class ChangedSharesTest(unittest.TestCase):
    """A gateway that updates only buckets with changed leases ends up like one that updates all of them."""

    def test_buckets_with_unchanged_leases_need_no_update(self):
        rng, current_time = Random(3), [100.0]
        with mock.patch.object(clock, "monotonic", lambda: current_time[0]):
            settings = Settings("edge-1", "10.1.0.1", "z", (7660, 7675), ["10.1.0.1:8407"], Bind())
            holdings = {key: GatewayLeases(1) for key in ROLE_KEYS}
            gateways = [Gateway(Loop(), settings, Random(1), 10) for _ in range(2)]
            for gateway in gateways:
                gateway.gateway_count = 12
                gateway.lease_share = lambda tenant, now: holdings[shard_of(tenant)].share(tenant, now)
                gateway.lease_remaining_s = lambda tenant, now: holdings[shard_of(tenant)].remaining_s(now)
            updated = []
            gateways[0].take_lease_changes = lambda now: [
                name for each in holdings.values() for name in each.take_changed(now)
            ]
            set_share = gateways[0].admission.set_share
            gateways[0].admission.set_share = lambda name, *args, **kwargs: (
                updated.append(name),
                set_share(name, *args, **kwargs),
            )
            tenants = {f"t{n}": TenantTerms(rng.choice([0.0, 5.0, 80.0]), 20.0, 1) for n in range(40)}
            for step in range(600):
                current_time[0] = now = 100.0 + step * 0.1
                if step % 150 == 0:
                    tenants = dict(tenants) | {f"t{step}": TenantTerms(9.0, 9.0, 1)}
                    tenants.pop(f"t{step // 150}", None)
                    for gateway in gateways:
                        gateway.configure(mock.Mock(tenants=tenants, routes={}, svcs={}))
                if step == 450:
                    for gateway in gateways:
                        gateway.gateway_count = 40
                if step % 5 == 0 and not 200 < step < 300:  # without new leases in between, so that they expire
                    key = rng.choice(ROLE_KEYS)
                    shares = {
                        name: rng.randrange(SHARE_UNITS)
                        for name in rng.sample(sorted(tenants), 6)
                        if shard_of(name) == key
                    }
                    holdings[key].apply(QuotaLease(1, now, 1, step + 1, 4.0, shares), now)
                for gateway in gateways:
                    gateway.update_shares(now)
                for name in rng.sample(sorted(tenants), 3):
                    self.assertEqual(
                        *(gateway.admission.admit(name, 1.0, now).is_admitted for gateway in gateways), name
                    )
                if step % 37:
                    continue  # reading the state fills the buckets
                for first, second in zip(
                    *(gateway.admission.states(now).values() for gateway in gateways), strict=True
                ):
                    self.assertEqual(first.share, second.share)
                    self.assertAlmostEqual(first.level, second.level, places=6)
                self.assertEqual(*(gateway.admission.demand(now) for gateway in gateways))
        self.assertLess(len(updated), 600 * 3)
