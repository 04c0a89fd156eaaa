"""Writes the golden files of `test_golden`: samples of messages, stored data, files and metrics pages.

    python3 -m tests.crowseam.golden_samples

Run it only if a format is meant to change, and raise `PROTOCOL_VERSION` if processes of the previous version would
misread it.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import tempfile
from pathlib import Path
from typing import Any
from unittest import mock

import msgspec
from msgspec import inspect

from crowseam.cli import file_formats
from crowseam.cli.schema import SCHEMAS, schema_of
from crowseam.configuration.model import parse_change
from crowseam.consensus import messages as consensus
from crowseam.consensus import records
from crowseam.control_calls import TABLE
from crowseam.controller import state_machine
from crowseam.metrics import exposition, families
from crowseam.operations import records as operation_records
from crowseam.settings import parse
from crowseam.simulator.world.patches import simulated_environment
from crowseam.storage import records as storage_records
from crowseam.storage import store
from crowseam.transport import codec, messages
from crowseam.transport.links import Link
from tests.crowseam import test_controller

FOLDER = Path(__file__).parent / "golden"
SETTINGS = {
    "hostname": "gateway-1",
    "ip": "10.1.0.4",
    "az": "z1",
    "port_range": [7660, 7675],
    "seeds": ["10.1.0.5:8407", "10.2.0.5:8407"],
    "bind": {"http": "10.1.0.4:8080", "readyz": "10.1.0.4:8081", "ctl": "10.1.0.4:8407"},
    "role": "controller",
    "region": "r",
    "zones": {"z1": "r"},
    "bootstrap": True,
    "voting": True,
    "limits": {"cpu": 0.5, "ncpu": 2, "mem_mb": 64, "nofile": 100, "net_mbps": 10.0, "disk_mb": 5},
    "datadir": "/data",
    "hb": "1300ms",
    "survive": {"nodes": 2, "zones": 1, "regions": 0},
    "bounds": {"contact": "2s", "ack": "1s", "retry_ratio": 0.3, "quota_window": "2s"},
}


def sample(kind: inspect.Type, depth: int = 0) -> Any:
    """Return a value of this type that differs from every default."""
    match kind:
        case inspect.StructType(cls=cls, fields=fields):
            return cls(**{field.name: sample(field.type, depth + number) for number, field in enumerate(fields, 1)})
        case inspect.UnionType(types=types):
            return sample(next(each for each in types if not isinstance(each, inspect.NoneType)), depth)
        case inspect.NamedTupleType(cls=cls, fields=fields):
            return cls(*(sample(field.type, depth + number) for number, field in enumerate(fields)))
        case inspect.ListType(item_type=item):
            return [sample(item, depth + 1), sample(item, depth + 2)]
        case inspect.VarTupleType(item_type=item):
            return (sample(item, depth + 1),)
        case inspect.TupleType(item_types=items):
            return tuple(sample(item, depth + number) for number, item in enumerate(items))
        case inspect.DictType(key_type=key, value_type=value):
            return {sample(key, depth + 1): sample(value, depth + 2)}
        case inspect.LiteralType(values=values):
            return values[depth % len(values)]
        case inspect.EnumType(cls=members):
            return list(members)[depth % len(members)]
        case inspect.IntType():
            return 100 + depth
        case inspect.FloatType():
            return depth + 0.25
        case inspect.BoolType():
            return True
        case inspect.BytesType():
            return bytes(range(depth + 1))
        case inspect.StrType():
            return f"text-{depth}"
    raise TypeError(f"no sample of {kind}")


def message_types() -> dict[str, inspect.StructType]:
    """Return the types of messages between processes by tag."""
    return {kind.tag: kind for kind in inspect.type_info(messages.Message).types}


def encoded_messages() -> dict[str, str]:
    """Return an encoded message of each type by tag, in hexadecimal."""
    return {tag: codec.encode(sample(kind)).hex() for tag, kind in message_types().items()}


def stored_records() -> list[Any]:
    """Return a record of each kind, with notes and members."""
    voters = [consensus.Voter("genesis/10.1.0.5:8407", "10.1.0.5:8407"), consensus.Voter("0a", "10.2.0.5:8407")]
    entries = {kind.tag: kind.cls for kind in inspect.type_info(consensus.Entry).types}
    change, noop = entries["change"], entries["nothing"]
    return [
        records.IdentityRecord("genesis/10.1.0.5:8407"),
        records.SnapshotRecord(3, b"state", voters, 2),
        records.ChosenRecord(2, noop("tag-2")),
        records.ChosenRecord(4, change("tag-4", 5, 4, True, b"body", "00" * 32)),
        records.ChosenRecord(5, consensus.VotersEntry("tag-5", voters)),
        records.VoteRecord(6, consensus.Ballot(2, "a~1"), change("tag-6", 7, 5, False, b"patch", "01" * 32)),
        records.PromiseRecord(6, consensus.Ballot(3, "b~2")),
        records.PromiseRecord(7, consensus.Ballot(1, "c~3")),
        storage_records.Note("known/whole", b"1"),
        storage_records.Note("counted", b"genesis/10.1.0.5:8407"),
        storage_records.Note("duty/tenants/3", b"10.2.0.5:8407 77"),
        storage_records.Member("10.1.0.4:8080", b""),
    ]


def stored_operation() -> dict[str, str]:
    """Return the stored row of a keyed operation: its key, and its value in hexadecimal."""
    stored = sample(inspect.type_info(operation_records.StoredRecord))
    record = operation_records.OperationRecord(stored.claim, 0.0, 0.0)
    record.state, record.answer = stored.state, stored.answer
    return {"key": operation_records.row_key(stored.claim), "value": record.encode().hex()}


def configuration(ver: int, parent: int) -> bytes:
    """Return the body of a configuration."""
    return test_controller.config(ver, parent, f"/loans/{ver}/")


def state_bytes() -> bytes:
    """Return the snapshot of a state machine that has changes of both kinds, recent and earlier."""
    machine = state_machine.ConfigurationStateMachine(max_recent=1, max_earlier=1)
    for slot, (ver, parent) in enumerate(((1, 0), (2, 1), (3, 2)), 1):
        change = parse_change("PUT", configuration(ver, parent))
        machine.apply(slot, machine.propose(change, f"tag-{slot}"))
    return machine.snapshot()


def control_answers() -> list[dict[str, Any]]:
    """Return control calls to a simulated system with the status and body of each answer."""
    system = test_controller.SimulatedCluster(1)
    answers = []
    with (
        mock.patch.object(Link, "unreadable_messages", 0),
        simulated_environment(system.world, lambda event, **fields: None),
    ):
        system.world.run(2.0)
        steps = [("PUT", "/-/config", configuration(1, 0)), ("PUT", "/-/config", configuration(3, 2))]
        steps += [("PUT", "/-/config", b"{"), ("PATCH", "/-/config", b'{"ver":"00000002","parent":"00000001"}')]
        steps += [("PUT", f"/-/backends/sv{n}", test_controller.heartbeat(f"sv{n}", "up", 1)) for n in (1, 2)]
        steps += [("PUT", "/-/backends/sv3", b"{}"), ("DELETE", "/-/backends/sv2", b"")]
        steps += [("POST", "/-/retire", b'{"id":"sv1","force":true}'), ("POST", "/-/retire", b"{}")]
        gets = [call.path for call in TABLE if call.method == "GET" and not call.path.endswith("/")]
        steps += [("GET", path, b"") for path in gets if path != "/-/operations"]
        steps += [("GET", "/-/retiring/sv1", b""), ("POST", "/-/config", b""), ("GET", "/-/nothing", b"")]
        # Last, because the answers contain ages, which depend on the calls before.
        steps += [("GET", f"/-/operations{rest}", b"") for rest in ("", "/00", "/none")]
        for method, path, body in steps:
            if path == "/-/metrics":
                continue
            system.call("r1", method, path, body)
            system.world.run(system.world.now + 1.5)
            answer = system.answers["r1"]
            answers.append({"method": method, "path": path, "body": body.decode()} | _answered(answer))
    return answers


def _answered(answer: Any) -> dict[str, Any]:
    if answer is None:
        return {"status": None}
    return {"status": answer.status, "answer": answer.body.decode()}


def metrics_page() -> str:
    """Return the metrics page of a controller after a few calls."""
    system = test_controller.SimulatedCluster(1)
    with (
        mock.patch.object(Link, "unreadable_messages", 0),
        simulated_environment(system.world, lambda event, **fields: None),
    ):
        system.world.run(2.0)
        system.call("r1", "PUT", "/-/config", configuration(1, 0))
        system.world.run(4.0)
        controller = system.controllers["r1"]
        system.world.enter(system.processes["r1"])
        return exposition.render(families.of_controller(controller.api, controller.now())).decode()


def parsed_files() -> dict[str, Any]:
    """Return parsed settings, a parsed deploy file and the schemas of all files."""
    deploy = Path("deploy/system.toml").read_bytes()
    return {
        "settings": msgspec.to_builtins(parse(json.dumps(SETTINGS).encode())),
        "deploy": msgspec.to_builtins(msgspec.toml.decode(deploy, type=file_formats.DeployFile)),
        "schemas": {name: schema_of(name) for name in SCHEMAS},
    }


def write_store(path: Path) -> None:
    """Create a store that contains all `stored_records`."""
    new_store = store.Store(path)
    new_store.open()
    for record in stored_records():
        new_store.write([record])
    new_store.close()


def main() -> None:
    """Write all golden files."""
    FOLDER.mkdir(exist_ok=True)
    _write_json("messages.json", encoded_messages())
    _write_json("operations.json", stored_operation())
    _write_json("files.json", parsed_files())
    _write_json("control_calls.json", control_answers())
    (FOLDER / "controller_metrics.txt").write_text(metrics_page())
    (FOLDER / "state_machine.bin").write_bytes(state_bytes())
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "crowseam.db"
        write_store(path)
        (FOLDER / "crowseam.db").write_bytes(path.read_bytes())
        opened = store.Store(path)
        opened.open()
        opened.snapshot(FOLDER / "store_copy.bin")
        opened.close()


def _write_json(name: str, value: Any) -> None:
    (FOLDER / name).write_text(json.dumps(value, indent=1, sort_keys=True) + "\n")


if __name__ == "__main__":
    with contextlib.closing(asyncio.new_event_loop()) as loop:
        asyncio.set_event_loop(loop)
        main()
