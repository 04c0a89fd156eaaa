"""Which parts of a client's request are forwarded to a server, and which requests are rejected."""

import json
import random
import re
import unittest
from types import SimpleNamespace

from crowseam.configuration.model import Configuration
from crowseam.configuration.routing import Table
from crowseam.gateway.request_reader import ParsedRequest, RequestReader
from fennelpoint.net import flow
from fennelpoint.net.request_fields import BadRequest
from fennelpoint.net.server import ClientConnection, Server


def item(group, name, **spec):
    return {"type": group, "meta": {"name": name}, "spec": spec}


def table(*more, tenants=True):
    def route(name, prefix, **spec):
        defaults = {"vhost": "gateway.example", "prefix": prefix, "kind": "safe", "timeout": "1500ms", "svc": "s"}
        return item("routes", name, **defaults | spec)

    objs = [route("r", "/loans/"), route("p", "/open/", public=True), item("svcs", "s"), *more]
    objs.append(route("k", "/orders/", kind="idem"))
    if tenants:
        objs.append(item("tenants", "town", apikeys=["key-1", "key-2"]))
    body = json.dumps({"ver": "00000001", "parent": "00000000", "objs": objs})
    return Table(Configuration.from_put(body.encode()))


USUAL = {"Host": "gateway.example", "X-Attempt-Id": "id-1", "Authorization": "Bearer key-1"}


class Case(unittest.TestCase):
    def setUp(self):
        self.reader = RequestReader()
        self.reader.table = table()

    def read(self, url=b"/loans/7?copy=2", body=b"", method=b"GET", without=(), more=(), **fields):
        """Read a request; field names are in lower case and in order, as the HTTP server passes them."""
        values = {**USUAL, **{name.replace("_", "-"): value for name, value in fields.items()}}
        pairs = [
            (name.lower().encode(), value.encode("latin-1")) for name, value in values.items() if name not in without
        ]
        return self.reader.read(method, url, pairs + list(more), body)

    def sent(self, **request):
        lines = self.read(**request).render(1.25, "i-9").partition(b"\r\n\r\n")[0].split(b"\r\n")
        return lines[0], dict(line.lower().split(b": ", 1) for line in lines[1:])

    def refused(self, status, **request):
        with self.assertRaises(BadRequest) as raised:
            self.read(**request)
        self.assertEqual(raised.exception.status, status, str(raised.exception))
        return raised.exception


class Forwarded(Case):
    def test_method_path_and_body_are_unchanged_and_fields_of_the_gateway_are_added(self):
        parsed = self.read(b"/loans/a%20b/?x=/../y#z", b"body", b"PUT", Content_Length="4", Accept="*/*")
        self.assertEqual(
            parsed.render(0.0304, "i-9"),
            b"PUT /loans/a%20b/?x=/../y#z HTTP/1.1\r\nhost: gateway.example\r\n"
            b"x-attempt-id: id-1\r\naccept: */*\r\ncontent-length: 4\r\nX-Time-Left: 30\r\n"
            b"X-Target-Instance: i-9\r\nX-Tenant: town\r\n\r\nbody",
        )
        self.assertEqual((parsed.txn, parsed.tenant, parsed.route.name, parsed.upload), (b"id-1", "town", "r", None))

    def test_fields_that_only_the_gateway_may_set_are_dropped(self):
        for url, tenant in ((b"/loans/7", b"town"), (b"/open/7", None)):
            _, fields = self.sent(url=url, X_Tenant="other", X_Target_Instance="i-1", X_Time_Left="500")
            self.assertEqual(
                (
                    fields.get(b"x-tenant"),
                    fields[b"x-target-instance"],
                    fields[b"x-time-left"],
                    fields.get(b"authorization"),
                ),
                (tenant, b"i-9", b"1250", None),
            )

    def test_hop_by_hop_fields_are_dropped(self):
        _, fields = self.sent(
            Connection="Keep-Alive, X-Hop, HOST , x-attempt-id",
            Keep_Alive="timeout=3",
            X_Hop="1",
            Upgrade="h2c",
            TE="trailers",
            Proxy_Connection="close",
            Trailer="X",
            Expect="100-continue",
            X_Hopper="2",
        )
        self.assertEqual(
            sorted(fields), [b"host", b"x-attempt-id", b"x-hopper", b"x-target-instance", b"x-tenant", b"x-time-left"]
        )

    def test_a_connection_field_removes_no_field_of_the_gateway(self):
        _, fields = self.sent(
            Connection="content-length, x-tenant, x-target-instance, x-time-left",
            body=b"four",
            method=b"POST",
            Content_Length="4",
        )
        self.assertEqual(
            (fields[b"content-length"], fields[b"x-tenant"], fields[b"x-target-instance"]), (b"4", b"town", b"i-9")
        )

    def test_framing_is_kept(self):
        def upload(length):
            return flow.Upload(flow.BufferBudget(128), length, lambda on: None, [b"some"])

        length, none = (b"content-length", b"transfer-encoding"), {}
        chunked = {"Transfer_Encoding": "chunked"}
        for body, framing, expected in (
            (b"", none, (None, None)),
            (b"", {"Content_Length": "0"}, (b"0", None)),
            (b"four", {"Content_Length": "4"}, (b"4", None)),
            (b"four", chunked, (b"4", None)),
            (b"", chunked, (b"0", None)),
            (upload(99), {"Content_Length": "99"}, (b"99", None)),
            (upload(None), chunked, (None, b"chunked")),
        ):
            _, fields = self.sent(body=body, method=b"POST", **framing)
            self.assertEqual(tuple(fields.get(name) for name in length), expected, (body, framing))

    def test_time_left_is_limited_by_the_route(self):
        for value, time_left_s in (("1", 0.001), ("900", 0.9), ("600000", 1.5), (None, 1.5)):
            fields = {} if value is None else {"X_Time_Left": value}
            self.assertEqual(self.read(**fields).time_left, time_left_s)
        self.assertIn(b"X-Time-Left: 1\r\n", self.read().render(-0.5, "i"))

    def test_the_scheme_of_a_key_is_case_insensitive(self):
        for value in ("Bearer key-2", "bearer  key-2 ", "BEARER key-2"):
            self.assertEqual(self.read(Authorization=value).tenant, "town")

    def test_without_tenants_no_key_is_needed_and_none_is_forwarded(self):
        self.reader.table = table(tenants=False)
        _, fields = self.sent(Authorization="Bearer anything")
        self.assertNotIn(b"authorization", fields)
        self.assertNotIn(b"x-tenant", fields)


class Rejected(Case):
    def test_statuses(self):
        for status, request in (
            (404, {"url": b"/none/7"}),
            (404, {"url": b"/loans"}),
            (404, {"Host": "b.example"}),
            (404, {"url": b"*"}),
            (404, {"url": b"", "without": ("Authorization",)}),
            (401, {"without": ("Authorization",)}),
            (401, {"Authorization": "Bearer key-3"}),
            (401, {"Authorization": "Basic key-1"}),
            (401, {"Authorization": "key-1"}),
            (401, {"Authorization": "Bearer \xff"}),
            (400, {"without": ("Host",)}),
            (400, {"without": ("X-Attempt-Id",)}),
            (400, {"X_Attempt_Id": "two words"}),
            (400, {"X_Attempt_Id": "x" * 201}),
            (400, {"X_Attempt_Id": ""}),
        ):
            with self.subTest(request):
                self.refused(status, **request)
        for time_left in ("0", "-1", "1.5", "600001", "", "1 ", "+5", "9" * 10, "\xb2"):
            with self.subTest(time_left):
                self.refused(400, X_Time_Left=time_left)

    def test_fields_that_matter_may_be_given_only_once(self):
        for name in (
            b"host",
            b"x-attempt-id",
            b"x-time-left",
            b"authorization",
            b"content-length",
            b"transfer-encoding",
        ):
            self.refused(400, more=[(name, b"1"), (name, b"1")])
        self.read(more=[(b"x-tenant", b"a"), (b"x-tenant", b"b"), (b"accept", b"a"), (b"accept", b"b")])

    def test_before_the_first_configuration_requests_get_503_with_retry_after(self):
        for none in (None, Table(Configuration())):
            self.reader.table = none
            fault = self.refused(503, url=b"/none/")
            self.assertIn(b"retry-after", dict(fault.headers))

    def test_a_keyed_request_without_a_valid_key_is_rejected_and_its_field_named(self):
        for value in ("", "two words", "k\xe9", "k" * 256):
            fault = self.refused(400, url=b"/orders/7", method=b"POST", X_Op_Key=value)
            self.assertIn("x-op-key", str(fault))
        self.assertIn("x-op-key is missing", str(self.refused(400, url=b"/orders/7", method=b"POST")))
        twice = [(b"x-op-key", b"k-2")]
        self.assertIn("twice", str(self.refused(400, url=b"/orders/7", method=b"POST", X_Op_Key="k-1", more=twice)))
        self.read(url=b"/orders/7", method=b"POST", X_Op_Key="k" * 255)

    def test_an_operation_is_identified_by_tenant_and_key_and_a_request_by_its_fingerprint(self):
        def operation(url=b"/orders/7", body=b"two", method=b"POST", key="k-1", **more):
            return self.read(url=url, method=method, body=body, X_Op_Key=key, **more).operation

        first = operation()
        self.assertEqual(operation(X_Attempt_Id="id-2", Host="GATEWAY.example"), first)
        self.assertEqual(operation(Authorization="Bearer key-2"), first)  # another key of the same tenant
        self.assertNotEqual(operation(key="k-2").key, first.key)
        for other in ({"url": b"/orders/8"}, {"body": b"three"}, {"method": b"PUT"}):
            self.assertEqual(operation(**other).key, first.key)
            self.assertNotEqual(operation(**other).fingerprint, first.fingerprint)

    def test_other_routes_ignore_a_key(self):
        self.assertIsNone(self.read(X_Op_Key="two words").operation)

    def test_a_request_keeps_its_route_when_the_configuration_changes(self):
        parsed = self.read()
        self.reader.table = table(tenants=False)
        self.assertEqual((parsed.tenant, parsed.route.prefix), ("town", b"/loans/"))

    def test_random_fields_are_parsed_or_rejected(self):
        rng = random.Random(3)
        names = [
            b"host",
            b"x-attempt-id",
            b"x-time-left",
            b"authorization",
            b"connection",
            b"content-length",
            b"transfer-encoding",
            b"x-tenant",
            b"x-target-instance",
            b"te",
            b"accept",
            b"",
            b"\xff",
        ]
        values = [
            b"gateway.example",
            b"gateway.example:80",
            b"id-1",
            b"Bearer key-1",
            b"500",
            b"",
            b"\xff\x00",
            b",,,",
            b"x-attempt-id, accept",
            b"9" * 300,
            b" ",
            b"[::1]:80",
            b"Bearer " + bytes(range(128, 256)),
        ]
        urls = [b"/loans/", b"/loans/x?y", b"/open/", b"", b"?", b"/" * 3000, b"\xff", b"http://x/loans/"]
        read = 0
        for _ in range(4000):
            pairs = [(n.lower().encode(), v.encode()) for n, v in USUAL.items() if rng.random() < 0.9]
            pairs += [(rng.choice(names), rng.choice(values)) for _ in range(rng.randint(0, 3))]
            try:
                parsed = self.reader.read(rng.choice([b"GET", b"POST"]), rng.choice(urls), pairs, b"")
            except BadRequest as fault:
                self.assertIn(fault.status, (400, 401, 404, 503))
                continue
            self.assertIsInstance(parsed, ParsedRequest)
            sent = parsed.render(0.5, "i-9").lower()
            read += 1
            self.assertNotIn(b"\r\nauthorization:", sent)
            for name in (b"x-target-instance", b"x-attempt-id", b"x-time-left", b"host"):
                self.assertEqual(sent.count(b"\r\n%b:" % name), 1, sent)
            self.assertEqual(sent.count(b"\r\nx-tenant:"), int(bool(parsed.tenant)))
        self.assertGreater(read, 200)


class Transport:
    def __init__(self):
        self.written, self.closed = b"", False

    def write(self, data):
        self.written += data

    def set_write_buffer_limits(self, high):
        pass

    def can_write_eof(self):
        return False

    def close(self):
        self.closed = True

    def resume_reading(self):
        pass

    pause_reading = resume_reading


class OnOneConnection(Case):
    """Bytes of a client through the HTTP server to the reader; each request is answered at once."""

    def sent_on(self, *pieces):
        """Return the bodies of admitted requests, and the statuses that the client got."""
        admitted = []

        def admit(client, parsed):
            admitted.append(parsed.body)
            client.send_answer(200, [], b"")
            return len(admitted)

        host = SimpleNamespace(
            backends=SimpleNamespace(budget=flow.BufferBudget(128)), admit=admit, is_open=lambda txn: False
        )
        server = Server(SimpleNamespace(call_soon=lambda call: soon.append(call)), host, 100, self.reader)
        soon = []
        client = ClientConnection(server)
        client.connection_made(Transport())
        for piece in pieces:
            client.data_received(piece)
            while soon:
                soon.pop(0)()
        return admitted, [int(s) for s in re.findall(rb"HTTP/1\.1 (\d+)", client.transport.written)]

    def test_the_buffered_body_of_a_pipelined_request_is_released_with_its_connection(self):
        budget, admitted = flow.BufferBudget(128), []
        host = SimpleNamespace(
            backends=SimpleNamespace(budget=budget),
            is_open=lambda txn: False,
            client_gone=lambda request: None,
            admit=lambda client, parsed: admitted.append(client) or len(admitted),
        )
        head = b"PUT /loans/7 HTTP/1.1\r\nHost: gateway.example\r\nAuthorization: Bearer key-1\r\n"
        for ends in ("answered last", "broken", "lost", "too many"):
            server = Server(SimpleNamespace(call_soon=lambda call: None), host, 100, self.reader)
            client = ClientConnection(server)
            client.connection_made(Transport())
            for number in range(17 if ends == "too many" else 1):
                client.data_received(head + b"X-Attempt-Id: %d\r\n\r\n" % number)
            client.data_received(head + b"X-Attempt-Id: x\r\nContent-Length: 90000\r\n\r\n" + bytes(70_000))
            if ends == "answered last":
                self.assertGreater(budget.used, 60_000)
                client.current.keep_alive = False  # a stopping server would serve it first
                client.send_answer(200, [], b"")
            elif ends == "broken":
                client.abort()
            elif ends == "lost":
                client.connection_lost(None)
            self.assertEqual(budget.used, 0, ends)

    def test_no_request_is_hidden_in_another(self):
        head = (
            b"PUT /loans/7 HTTP/1.1\r\nHost: gateway.example\r\n" b"Authorization: Bearer key-1\r\nX-Attempt-Id: 1\r\n"
        )
        hidden = b"GET /loans/8 HTTP/1.1\r\nHost: gateway.example\r\nX-Attempt-Id: 2\r\n\r\n"
        size, wish = b"Content-Length: %d\r\n" % len(hidden), b"Connection: Upgrade\r\nUpgrade: h2c\r\n"
        chunked = b"Transfer-Encoding: chunked\r\n"
        in_chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(hidden), hidden)
        for data, admitted, statuses in (
            (head + size + b"\r\n" + hidden, [hidden], [200]),
            (head + chunked + b"\r\n" + in_chunks, [hidden], [200]),
            (head + b"\r\n" + head + b"\r\n", [b"", b""], [200, 200]),
            (head + wish + b"\r\n" + head + b"\r\n", [b"", b""], [200, 200]),
            (head + size + wish + b"\r\n" + hidden, [], [400]),
            (head + chunked + wish + b"\r\n" + in_chunks, [], [400]),
            (head + size + chunked + b"\r\n" + in_chunks, [], [400]),
            (head + size + size + b"\r\n" + hidden, [], [400]),
            (head + b"Transfer-Encoding: gzip, chunked\r\n\r\n" + in_chunks, [], [400]),
            (head + b"Transfer-Encoding : chunked\r\n\r\n" + in_chunks, [], [400]),
            (head + b"Content-Length: +5\r\n\r\n" + hidden, [], [400]),
        ):
            for cut in (len(data), 60):
                with self.subTest(data[len(head) : len(head) + 60], cut=cut):
                    self.assertEqual(self.sent_on(data[:cut], data[cut:]), (admitted, statuses))


if __name__ == "__main__":
    unittest.main()
