"""The configuration: validation, changes, and routing."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from crowseam.configuration.errors import ConfigurationError
from crowseam.configuration.faults import faults
from crowseam.configuration.model import EMPTY, Configuration, apply_change, parse_change
from crowseam.configuration.routing import Table


def svc(name, **spec):
    return {
        "type": "svcs",
        "meta": {"name": name},
        "spec": {"hc_path": "/healthz", "maxconn": 9, "proto": "h1", "tls": False} | spec,
    }


def route(name, prefix="/a/", vhost="h.example", **spec):
    base = {
        "vhost": vhost,
        "prefix": prefix,
        "kind": "safe",
        "timeout": "1500ms",
        "target_time": "600ms",
        "prio": 2,
        "tries": 2,
        "public": False,
    }
    base |= spec if "split" in spec else {"svc": "s"} | spec
    return {"type": "routes", "meta": {"name": name}, "spec": base}


def tenant(name, *keys, **spec):
    return {"type": "tenants", "meta": {"name": name}, "spec": {"apikeys": list(keys)} | spec}


def put(ver, parent, *objs, **more):
    return json.dumps({"ver": f"{ver:08x}", "parent": f"{parent:08x}", "objs": objs} | more).encode()


def patch(ver, parent, *objs, **remove):
    return json.dumps(
        {"ver": f"{ver:08x}", "upsert": {"objs": objs}, "remove": remove, "parent": f"{parent:08x}"}
    ).encode()


def apply_body(current, method, body):
    return apply_change(current, parse_change(method, body))


BASE = Configuration.from_put(put(5, 0, svc("s"), svc("t"), route("r"), tenant("one", "k1", "k2", prio=1)))


class Refusals(unittest.TestCase):
    def refused(self, status, field, current, method, body):
        with self.assertRaises(ConfigurationError) as caught:
            apply_body(current, method, body)
        self.assertEqual((caught.exception.status, caught.exception.field), (status, field), str(caught.exception))

    def test_each_documented_kind_of_route_is_accepted(self):
        # With an unknown kind the whole configuration is rejected.
        for kind in ("safe", "unsafe", "idem"):
            table = Table(apply_body(EMPTY, "PUT", put(1, 0, svc("s"), svc("t"), route("r", kind=kind))))
            self.assertEqual(table.routes["r"].kind, kind)

    def test_each_error_of_an_item_names_its_field(self):
        split = [{"svc": "s", "wt": 1}, {"svc": "t", "wt": -1}]
        cases = [
            (route("r", timeout="601s"), "objs[2].spec.timeout"),
            (route("r", timeout="600001ms"), "objs[2].spec.timeout"),
            (route("r", timeout="1500"), "objs[2].spec.timeout"),
            (route("r", timeout=1500), "objs[2].spec.timeout"),
            (route("r", prefix="/a"), "objs[2].spec.prefix"),
            (route("r", prefix="a/"), "objs[2].spec.prefix"),
            (route("r", kind="idempotent"), "objs[2].spec.kind"),
            (route("r", tries="2"), "objs[2].spec.tries"),
            (route("r", split=split), "objs[2].spec.split[1].wt"),
            (route("r", split=[{"svc": "s", "wt": 0}, {"svc": "t", "wt": 0}]), "objs[2].spec.split"),
            (route("r", split=[]), "objs[2].spec.split"),
            (route("r", svc=None), "objs[2].spec.svc"),
            (route(""), "objs[2].meta.name"),
            (route("r", svc="gone"), "routes.r.svc"),
            (route("r", split=[{"svc": "s", "wt": 1}, {"svc": "gone", "wt": 0}]), "routes.r.svc"),
            (svc("s"), "objs[2].meta.name"),
            (tenant("t", "k", rate_per_s=-1), "objs[2].spec.rate_per_s"),
            ({"type": "listener", "meta": {"name": "x"}, "spec": {}}, "objs[2].type"),
            ({"type": "routes", "meta": {"name": "x"}}, "objs[2]"),
            ({"type": "routes", "meta": {"name": "x"}, "spec": {"vhost": "h"}}, "objs[2].spec"),
        ]
        for item, field in cases:
            with self.subTest(field=field, item=item):
                self.refused(400, field, EMPTY, "PUT", put(7, 0, svc("s"), svc("t"), item))
                self.assertIn(field, [fault.field for fault in faults(put(7, 0, svc("s"), svc("t"), item))])

    def test_bodies_that_cannot_be_parsed(self):
        whole = put(7, 0, svc("s"), route("r"))
        for body in (b"", b"[]", whole[:-1], whole + b"x", whole[:-1] + b',"note":"\xff"}', b"[" * 100000):
            with self.subTest(body=body[:40]):
                self.refused(400, "", EMPTY, "PUT", body)

    def test_versions(self):
        cases = [("7", "ver"), (7, "ver"), ("0000000g", "ver"), ("000000007", "ver")]
        for ver, field in cases:
            self.refused(400, field, EMPTY, "PUT", json.dumps({"ver": ver, "parent": "00000000", "objs": []}).encode())
        self.refused(400, "parent", EMPTY, "PUT", b'{"ver":"00000007","objs":[]}')
        self.refused(400, "ver", BASE, "PUT", put(5, 5))
        self.refused(400, "ver", BASE, "PATCH", patch(4, 5))
        self.refused(412, "parent", BASE, "PUT", put(9, 4))
        self.refused(412, "parent", BASE, "PATCH", patch(9, 0))
        self.refused(405, "", BASE, "POST", put(9, 5))
        # The parent of the first configuration may be a plain 0.
        first = apply_change(EMPTY, parse_change("PUT", b'{"ver":"0000000C","parent":0,"objs":[]}'))
        self.assertEqual((first.ver, first.dump()), (12, b'{"ver":"0000000C","parent":0,"objs":[]}'))

    def test_a_patch_is_validated_with_its_result(self):
        self.refused(400, "routes.r.svc", BASE, "PATCH", patch(6, 5, svcs=["s"]))
        self.refused(400, "routes.q.svc", BASE, "PATCH", patch(6, 5, route("q", svc="u")))
        self.refused(400, "remove.svcs", BASE, "PATCH", patch(6, 5, svc("u"), svcs=["u"]))
        self.refused(400, "remove.things", BASE, "PATCH", patch(6, 5, things=["u"]))
        moved = apply_body(BASE, "PATCH", patch(6, 5, svc("u"), route("r", svc="u"), svcs=["s"]))
        self.assertEqual(sorted(moved.items_of_kind("svcs")), ["t", "u"])
        unchanged = apply_body(BASE, "PATCH", patch(6, 5, routes=["never"], tenants=["nor"]))
        self.assertEqual(unchanged.items, BASE.items)

    def test_faults_returns_all_errors(self):
        body = put(7, 0, svc("s", hc_path="none"), route("a", timeout="11m"), route("b", svc="x"), route("c"))
        self.assertEqual(
            [fault.field for fault in faults(body)], ["objs[0].spec.hc_path", "objs[1].spec.timeout", "routes.b.svc"]
        )
        self.assertEqual(faults(BASE.dump()), [])


class Contents(unittest.TestCase):
    def test_a_configuration_is_read_back_as_sent(self):
        odd = route("r", note={"π": [1.0, 1e2, 10**30]}, timeout="2.5s") | {"labels": ["x"]}
        body = put(7, 0, odd, svc("s"), {"type": "limits", "meta": {}, "spec": {"hdr": "1s"}}, origin="hand")
        config = apply_body(EMPTY, "PUT", body)
        self.assertEqual(json.loads(config.dump()), json.loads(body))
        # A snapshot is a dump: changes have the same result after a restart from it.
        again = Configuration.from_put(config.dump())
        change = patch(9, 7, route("q"), route("r", svc="s"), svcs=["none"])
        self.assertEqual(again.patched(change).dump(), config.patched(change).dump())
        read = json.loads(config.patched(change).dump())
        self.assertEqual((read["ver"], read["parent"], read["origin"]), ("00000009", "00000007", "hand"))
        self.assertEqual([obj["meta"].get("name", "") for obj in read["objs"]], ["r", "s", "", "q"])
        self.assertEqual(json.loads(config.dump()), json.loads(body), "the base must not change")
        self.assertEqual(Configuration.from_put(EMPTY.dump()).ver, 0)
        self.assertEqual(Configuration.from_change(config, False, change).dump(), config.patched(change).dump())

    def test_a_repeated_change_has_the_same_digest_and_other_changes_have_not(self):
        body = put(7, 0, svc("s"), route("r"))
        loose = json.dumps(dict(reversed(json.loads(body).items())), indent=2).encode()
        digest = parse_change("PUT", body).digest
        self.assertEqual(parse_change("PUT", loose).digest, digest)
        others = [
            parse_change("PUT", put(7, 0, svc("s"), route("r", tries=1))),
            parse_change("PUT", put(7, 0, svc("s"), route("r"), note=1)),
            parse_change("PATCH", body),
            parse_change("PUT", put(7, 5, svc("s"), route("r"))),
        ]
        self.assertEqual(len({digest, *(other.digest for other in others)}), 5)

    def test_concurrent_changes_of_two_operators(self):
        # Columns are operators; a line has what they send, `ver on parent`, and the next line the outcomes.
        timeline = """
            north       south
            6 on 5      .
            ok          .
            .           7 on 5
            .           412
            .           7 on 6
            .           ok
            6 on 5      .
            412         .
            9 on 7      8 on 7
            ok          412
        """
        current = BASE
        rows = [line.split("  ") for line in timeline.strip().splitlines()[1:]]
        rows = [[cell.strip() for cell in row if cell.strip()] for row in rows]
        for sent, outcome in zip(rows[::2], rows[1::2], strict=True):
            for what, expected in zip(sent, outcome, strict=True):
                if what == ".":
                    continue
                ver, parent = map(int, what.split(" on "))
                try:
                    current, got = apply_body(current, "PATCH", patch(ver, parent, route(f"r{ver}"))), "ok"
                except ConfigurationError as error:
                    got = str(error.status)
                self.assertEqual(got, expected, what)
        self.assertEqual(sorted(current.items_of_kind("routes")), ["r", "r6", "r7", "r9"])

    @settings(max_examples=150, deadline=None, derandomize=True, database=None)
    @given(st.integers(0, 10**6), st.sampled_from([b"", b'"', b"\\ud800", b"\x00", b"\xc3", b"{", b"-1", b"]"]))
    def test_damaged_bodies_raise_no_other_error(self, at, piece):
        body = put(7, 0, svc("s"), route("r", split=[{"svc": "s", "wt": 2}]), tenant("n", "k"))
        at %= len(body)
        damaged = body[:at] + piece + body[at + max(1, len(piece)) :]
        for method in ("PUT", "PATCH"):
            try:
                config = apply_body(EMPTY, method, damaged)
                Table(config)
                Configuration.from_put(config.dump())
            except ConfigurationError as error:
                self.assertEqual(error.status, 400)
            faults(damaged)


class Routing(unittest.TestCase):
    def test_the_longest_prefix_of_the_host_is_chosen(self):
        table = Table(
            Configuration.from_put(
                put(
                    7,
                    0,
                    svc("s"),
                    route("root", "/"),
                    route("a", "/a/"),
                    route("ab", "/a/b/"),
                    route("other", "/a/b/c/", "Other.Example:80"),
                )
            )
        )
        cases = [
            ("h.example", "/", "root"),
            ("h.example", "/a", "root"),
            ("h.example", "/a/", "a"),
            ("H.Example:8080", "/a/b", "a"),
            ("h.example", "/a/b/c/d", "ab"),
            ("h.example", "/x?y=/a/b/", "root"),
            ("h.example", "/a?/b/", "root"),
            ("other.example", "/a/b/c/", "other"),
            ("other.example", "/a/b/c", None),
            ("h.example", "*", None),
            ("h.example", "", None),
            ("none.example", "/a/", None),
        ]
        for host, path, name in cases:
            found = table.route(host.encode(), path.encode())
            self.assertEqual(found and found.name, name, (host, path))

    @settings(max_examples=100, deadline=None, derandomize=True, database=None)
    @given(st.lists(st.text("ab/", max_size=6), unique=True, max_size=8), st.text("ab/?", max_size=10))
    def test_routing_equals_a_search_of_all_prefixes(self, middles, path):
        prefixes = sorted({f"/{middle}/" for middle in middles})
        table = Table(Configuration.from_put(put(7, 0, svc("s"), *[route(p, p) for p in prefixes])))
        path = "/" + path
        matching = [p for p in prefixes if path.partition("?")[0].startswith(p)]
        found = table.route(b"h.example", path.encode())
        self.assertEqual(found and found.name, max(matching, key=len, default=None))

    def test_fields_of_a_route(self):
        split = [{"svc": "s", "wt": 30}, {"svc": "t", "wt": 0}, {"svc": "u", "wt": 10}]
        table = Table(
            Configuration.from_put(
                put(7, 0, svc("s"), svc("t"), svc("u"), route("r", kind="unsafe", split=split, timeout="2.5s"))
            )
        )
        found = table.route(b"h.example", b"/a/x")
        self.assertEqual(
            (found.kind, found.timeout, found.target, found.prio, found.tries, found.public),
            ("unsafe", 2.5, 0.6, 2, 2, False),
        )
        self.assertEqual(found.split, (("s", 30.0), ("u", 10.0)))
        self.assertEqual([found.pick(draw) for draw in (0.0, 0.74, 0.75, 0.999999999999)], ["s", "s", "u", "u"])
        self.assertFalse(table.requires_keys)

    def test_a_table_keeps_unchanged_objects_of_the_previous_one(self):
        first = Table(BASE)
        self.assertEqual((first.tenant("k1").name, first.tenant("k1").rate, first.tenant("no")), ("one", 0.0, None))
        change = patch(6, 5, tenant("one", "k2", rate_per_s=81, burst=5), tenant("two", "k3"), route("q", "/q/"))
        config = BASE.patched(change)
        second = Table(config, first)
        self.assertEqual(second.changed, {("tenants", "one"), ("tenants", "two"), ("routes", "q")})
        self.assertIsNone(second.tenant("k1"))
        self.assertEqual((second.tenant("k2").rate, second.tenant("k3").name), (81.0, "two"))
        self.assertIs(second.routes["r"], first.routes["r"])
        self.assertIsNone(first.route(b"h.example", b"/q/"), "the previous table must not change")
        # An equal configuration changes nothing.
        third = Table(Configuration.from_put(config.dump()), second)
        self.assertEqual((third.changed, third.routes["r"]), (frozenset(), first.routes["r"]))
        gone = Table(config.patched(patch(7, 6, routes=["r"], tenants=["one", "two"])), second)
        self.assertIsNone(gone.route(b"h.example", b"/a/"))
        self.assertEqual((gone.requires_keys, gone.keys), (False, {}))

    def test_duplicates_are_resolved_independently_of_the_order(self):
        items = [route("b"), route("a"), tenant("y", "k"), tenant("x", "k")]
        for order in (items, items[::-1]):
            table = Table(Configuration.from_put(put(7, 0, svc("s"), *order)))
            self.assertEqual(table.route(b"h.example", b"/a/").name, "a")
            self.assertEqual(table.tenant("k").name, "x")


if __name__ == "__main__":
    unittest.main()
