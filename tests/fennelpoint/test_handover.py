"""Hand-over between two processes: who accepts connections, shares of the allowances, and bans."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import contextmanager

import pytest

from fennelpoint import interface as api
from fennelpoint.net.handover import Handover, State
from tests.fennelpoint.sockets import member
from tests.fennelpoint.test_program import ROOT, config
from tests.fennelpoint.worlds import CAPPED, HARD, READY, SAFE, World, make_settings


def handover(folder, name: str = "n0") -> Handover:
    registered = Handover(str(folder), name)
    registered.register()
    return registered


def test_processes_of_one_ingress_see_each_other_and_their_states(tmp_path):
    old, new, other = handover(tmp_path), handover(tmp_path), handover(tmp_path, "n0.1")
    assert old.other_states() == [State.STARTING] and other.other_states() == []
    for state in (State.RUNNING, State.STOPPING):
        old.publish_state(state)
        assert new.other_states() == [state]
    old.unregister()
    assert new.other_states() == [] and len(list(tmp_path.glob("*.alive"))) == 2
    new.unregister()
    other.unregister()


def test_file_of_a_process_that_died_is_stale_and_removed(tmp_path):
    dead = handover(tmp_path)
    os.close(dead.lock_fd)  # as the end of the process does
    new = handover(tmp_path)
    assert new.other_states() == [] and list(tmp_path.glob("*.alive")) == [new.own_path]
    new.unregister()


def test_invalid_state_counts_as_running(tmp_path):
    old, new = handover(tmp_path), handover(tmp_path)
    os.pwrite(old.lock_fd, b"\xff....", 0)
    assert new.other_states() == [State.RUNNING]
    old.unregister()
    new.unregister()


def test_bans_are_read_once_after_each_change_by_the_other(tmp_path):
    old, new = handover(tmp_path), handover(tmp_path)
    assert new.read_changed_bans() is None
    old.write_bans({"a", "b"})
    assert new.read_changed_bans() == {"a", "b"}
    assert new.read_changed_bans() is None and old.read_changed_bans() is None
    new.write_bans(set())
    assert old.read_changed_bans() == set()
    assert not list(tmp_path.glob("*.new"))
    old.unregister()
    new.unregister()


@pytest.mark.parametrize("data", [b"", b"[]", b'{"bans": 3}', b'{"bans": [3]}', b"[" * 9000, b"\xff"])
def test_invalid_bans_are_ignored_and_logged(tmp_path, caplog, data):
    new = handover(tmp_path)
    new._bans_path.write_bytes(data)
    assert new.read_changed_bans() is None and "bans file is invalid" in caplog.text
    new.unregister()


@pytest.mark.parametrize("folder", [None, "/nowhere/at/all"])
def test_without_a_folder_a_process_is_alone(folder):
    alone = Handover(folder, "n0")
    alone.register()
    alone.publish_state(State.RUNNING)
    alone.write_bans({"a"})
    assert alone.other_states() == [] and alone.read_changed_bans() is None
    alone.unregister()


def flood(worlds: list[World], plan: int, seconds: float) -> int:
    """Number of requests forwarded for one customer who sends to the processes in turn."""
    out, sent = [], 0
    for _ in range(int(seconds * 100)):
        for world in worlds:
            world.now += 0.01
            actions = world.ask(SAFE, plan) + world.wait(0.0)
            out += [(world, a) for a in actions if isinstance(a, api.Send)]
        for world, a in out:
            sent += 1
            world.answer(a.request_id, a.backend)
        out.clear()
    return sent


@pytest.mark.parametrize("plan", [HARD, CAPPED])
def test_two_processes_use_no_more_than_one(plan):
    def make_world(part: float) -> World:
        world = World(make_settings(has_counter=False))
        world.backends(*"abcdefgh")
        world.give(api.ProcessShare(part))
        return world

    one = flood([make_world(1.0)], plan, 10.0)
    two = flood([make_world(0.75), make_world(0.25)], plan, 10.0)
    assert 0.7 * one <= two <= 1.1 * one


def test_smaller_share_scales_saved_quota_and_a_larger_one_adds_none():
    world = World(make_settings(has_counter=False))
    world.roster(*(api.BackendEntry(name, READY) for name in "ab"))
    world.ask(SAFE, HARD)
    world.wait(5.0)
    customer = world.control.quotas.customers[1]
    world.give(api.ProcessShare(1.0))
    level = customer.level
    world.give(api.ProcessShare(0.25))
    assert customer.level == pytest.approx(level / 4, rel=0.2) and customer.spread == 8.0
    level = customer.level
    world.give(api.ProcessShare(1.0))
    assert customer.level == level and customer.spread == 2.0 and customer.share == 0.5


def test_concurrent_attempts_are_split_too():
    def count_sends(part: float) -> int:
        world = World(make_settings(has_counter=False))
        world.backends("a", "b")
        world.give(api.ProcessShare(part))
        world.control.window.size = 12.0
        return sum(isinstance(a, api.Send) for i in range(30) for a in world.ask(SAFE, customer=100 + i))

    assert (count_sends(1.0), count_sends(0.75), count_sends(0.25)) == (12, 9, 3)


# Two processes of the real program.


@contextmanager
def ingress(tmp_path, shared: socket.socket, port: int, number: int):
    value = config(
        listen=f"127.0.0.1:{shared.getsockname()[1]}",
        mgmt=f"127.0.0.1:{port}",
        known={"revision": 1, "complete": True, "members": [member("s-0", "127.0.0.1:1")]},
    )
    path = tmp_path / f"config{number}.json"
    path.write_text(json.dumps(value))
    process = subprocess.Popen(
        [sys.executable, "-m", "fennelpoint"],
        cwd=ROOT,
        stderr=subprocess.DEVNULL,
        pass_fds=[shared.fileno()],
        env={
            **os.environ,
            "BALANCER_CONFIG": str(path),
            "TMPDIR": str(tmp_path / "shared"),
            "BALANCER_LISTEN_FD": str(shared.fileno()),
        },
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait(timeout=30)


def free_ports(count: int) -> list[int]:
    probes = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


def call(port: int, method: str, path: str) -> int:
    """Status code of an operator's call; 0 if there is no answer."""
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=10) as caller:
            caller.sendall(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            answer = b""
            while part := caller.recv(4096):
                answer += part
            return int(answer.split()[1]) if answer else 0
    except OSError:
        return 0


def wait_until_ready(port: int) -> None:
    end = time.monotonic() + 20.0
    while call(port, "GET", "/v1/readyz") != 200:
        assert time.monotonic() < end
        time.sleep(0.05)


READY_CALL = b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n"


def request_ready(client: socket.socket) -> bytes:
    client.sendall(READY_CALL)
    return client.recv(4096)


def unhealthy(port: int) -> float:
    with socket.create_connection(("127.0.0.1", port), timeout=10) as caller:
        caller.sendall(b"GET /v1/metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        answer = b""
        while part := caller.recv(65536):
            answer += part
    return float(answer.split(b"\napp_cluster_unhealthy ")[1].split()[0])


def connect_to_old(shared: socket.socket, two: int) -> socket.socket:
    """Open a connection that the old process accepts: the new one is drained meanwhile."""
    assert call(two, "POST", "/v1/ingress/drain") == 200
    while True:
        client = socket.create_connection(shared.getsockname(), timeout=10)
        if request_ready(client).startswith(b"HTTP/1.1 200"):
            assert call(two, "POST", "/v1/ingress/activate") == 200
            return client
        client.close()


def test_new_process_takes_over_and_keeps_the_bans(tmp_path):
    (tmp_path / "shared").mkdir()
    with socket.create_server(("127.0.0.1", 0)) as shared:
        one, two = free_ports(2)
        with ingress(tmp_path, shared, one, 1) as old:
            wait_until_ready(one)
            assert call(one, "POST", "/v1/menu-servers/s-0/suspend") == 200
            kept = socket.create_connection(shared.getsockname(), timeout=10)
            assert request_ready(kept).startswith(b"HTTP/1.1 200")
            with ingress(tmp_path, shared, two, 2) as new:
                wait_until_ready(two)
                assert unhealthy(two) == 1.0  # it has read the bans at its start
                # A call to either process takes effect in both.
                assert call(two, "POST", "/v1/menu-servers/s-0/resume") == 200
                end = time.monotonic() + 10.0
                while unhealthy(one) and time.monotonic() < end:
                    time.sleep(0.05)
                assert unhealthy(one) == 0.0
                kept.close()
                kept = connect_to_old(shared, two)
                old.send_signal(signal.SIGTERM)
                time.sleep(0.7)  # longer than a process without a successor accepts connections
                # A connection still in use gets `connection: close`; none is cut off.
                answer = request_ready(kept)
                assert answer.startswith(b"HTTP/1.1 503") and b"connection: close" in answer
                kept.close()
                for _ in range(20):  # all accepted by the new process
                    with socket.create_connection(shared.getsockname(), timeout=10) as client:
                        assert request_ready(client).startswith(b"HTTP/1.1 200")
                assert old.wait(timeout=20) == 0 and new.poll() is None
                assert len(list((tmp_path / "shared").glob("*.alive"))) == 1
                with socket.create_connection(shared.getsockname(), timeout=10) as client:
                    assert request_ready(client).startswith(b"HTTP/1.1 200")  # the shared socket is still open


def test_old_process_goes_on_where_the_new_one_dies(tmp_path):
    (tmp_path / "shared").mkdir()
    with socket.create_server(("127.0.0.1", 0)) as shared:
        one, two = free_ports(2)
        with ingress(tmp_path, shared, one, 1) as old:
            wait_until_ready(one)
            with ingress(tmp_path, shared, two, 2):
                wait_until_ready(two)
            for _ in range(5):
                with socket.create_connection(shared.getsockname(), timeout=10) as client:
                    assert request_ready(client).startswith(b"HTTP/1.1 200")
            old.send_signal(signal.SIGTERM)  # no successor any more: it accepts connections for a while
            with socket.create_connection(shared.getsockname(), timeout=10) as client:
                assert request_ready(client).startswith(b"HTTP/1.1 ")
            assert old.wait(timeout=20) == 0


@pytest.mark.parametrize("value", ["x", "99", "2"])
def test_descriptor_that_does_not_listen_is_reported(tmp_path, value):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config()))
    environment = {**os.environ, "BALANCER_CONFIG": str(path), "BALANCER_LISTEN_FD": value}
    process = subprocess.run(
        [sys.executable, "-m", "fennelpoint"], cwd=ROOT, stderr=subprocess.PIPE, timeout=30, env=environment
    )
    lines = process.stderr.decode().splitlines()
    assert process.returncode != 0 and len(lines) == 1 and "BALANCER_LISTEN_FD" in lines[0]
