"""Compatibility: data of an earlier version is read, and written again byte for byte.

The files under `golden/` were written by `golden_samples` with the code of commit 2678150.
"""

import json
import shutil
import sqlite3
import tempfile
import unittest
from pathlib import Path
from random import Random
from unittest import mock

import msgspec

from crowseam.cli import file_formats
from crowseam.controller.durable_state import ControllerStore
from crowseam.controller.state_machine import ConfigurationStateMachine
from crowseam.operations.records import decode_record, row_key
from crowseam.settings import Settings
from crowseam.storage.records import OperationRow
from crowseam.storage.store import Store
from crowseam.transport import codec, messages
from tests.crowseam import golden_samples

FOLDER = golden_samples.FOLDER


def golden_json(name):
    return json.loads((FOLDER / name).read_text())


class Wire(unittest.TestCase):
    def test_each_message_is_read_and_written_as_before(self):
        golden = golden_json("messages.json")
        for tag, text in golden.items():
            with self.subTest(tag):
                data = bytes.fromhex(text)
                self.assertEqual(codec.encode(codec.decode(data)), data)
                self.assertEqual(codec.decode(data), golden_samples.sample(golden_samples.message_types()[tag]))

    def test_no_message_is_new_or_missing(self):
        self.assertEqual(set(golden_samples.encoded_messages()), set(golden_json("messages.json")))

    def test_the_protocol_version_is_that_of_these_messages(self):
        # Version 2 cannot decode the messages of keyed operations, nor a configuration with such a route.
        self.assertEqual(messages.PROTOCOL_VERSION, 3)

    def test_greetings_keep_their_fields_in_place(self):
        # Any two versions must be able to read each other's greeting, so its fields must never move.
        for tag, protocol_at in (("hello", 3), ("open", 9), ("welcome", 3)):
            fields = msgspec.msgpack.decode(bytes.fromhex(golden_json("messages.json")[tag]))
            self.assertEqual(codec.decode(msgspec.msgpack.encode(fields)).protocol, fields[protocol_at])


class Disk(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def rows(self, path):
        connection = sqlite3.connect(path)
        try:
            tables = [name for (name,) in connection.execute("SELECT name FROM sqlite_master WHERE type = 'table'")]
            return {name: connection.execute(f"SELECT * FROM {name} ORDER BY key").fetchall() for name in tables}
        finally:
            connection.close()

    def opened(self):
        path = self.folder / "crowseam.db"
        shutil.copy(FOLDER / "crowseam.db", path)
        store = Store(path)
        store.open()
        self.addCleanup(store.close)
        return store

    def test_the_same_records_make_the_same_rows(self):
        golden_samples.write_store(self.folder / "new.db")
        shutil.copy(FOLDER / "crowseam.db", self.folder / "old.db")
        rows = self.rows(self.folder / "new.db")
        self.assertEqual(rows.pop("operations"), [])  # a table that the old store does not have
        self.assertEqual(rows, self.rows(self.folder / "old.db"))

    def test_an_old_store_gets_a_table_for_operations_and_keeps_the_rest(self):
        before = self.rows(FOLDER / "crowseam.db")
        store = self.opened()
        self.assertEqual(store.operations(), [])
        store.write([OperationRow("k", b"value")])
        store.close()
        rows = self.rows(self.folder / "crowseam.db")
        self.assertEqual([row[:2] for row in rows.pop("operations")], [("k", b"value")])
        self.assertEqual(rows, before)

    def test_an_operation_is_read_and_written_as_before(self):
        row = golden_json("operations.json")
        self.assertEqual(golden_samples.stored_operation(), row)
        stored = decode_record(bytes.fromhex(row["value"]))
        self.assertEqual(row_key(stored.claim), row["key"])

    def test_an_old_store_is_read(self):
        store = self.opened()
        durable = store.load()
        self.assertFalse(store.was_quarantined)
        self.assertEqual((durable.id, durable.highest_chosen_slot), ("genesis/10.1.0.5:8407", 5))
        self.assertEqual(sorted(durable.chosen), [2, 4, 5])
        self.assertEqual((durable.chosen[4].ver, durable.chosen[4].body), (5, b"body"))
        self.assertEqual([voter.addr for voter in durable.chosen[5].voters], ["10.1.0.5:8407", "10.2.0.5:8407"])
        self.assertEqual(
            (durable.snapshot.slot, durable.snapshot.state, len(durable.snapshot.voters)), (3, b"state", 2)
        )
        self.assertEqual((durable.votes[6].promised.round, durable.votes[6].accepted.round), (3, 2))
        self.assertEqual(durable.votes[6].entry.body, b"patch")
        self.assertEqual((durable.votes[7].promised.proposer, durable.votes[7].accepted), ("c~3", None))
        self.assertEqual(store.members(), {"10.1.0.4:8080": b""})

    def test_an_old_snapshot_file_is_restored(self):
        store = Store(self.folder / "restored.db")
        store.open()
        self.addCleanup(store.close)
        digest = store.restore(FOLDER / "store_copy.bin")
        self.assertEqual(store.snapshot(self.folder / "again.bin"), digest)
        self.assertEqual((self.folder / "again.bin").read_bytes(), (FOLDER / "store_copy.bin").read_bytes())

    def test_a_controller_finds_its_notes_in_an_old_store(self):
        self.opened().close()
        settings = Settings("h", "10.1.0.5", "z", (7660, 7675), [], datadir=str(self.folder))
        store = ControllerStore(
            mock.Mock(), settings, Random(1), writer_type=lambda loop, store: mock.Mock(store=store)
        )
        self.addCleanup(store.writer.store.close)
        self.assertTrue(store.has_complete_members)
        self.assertTrue(store.was_caught_up)
        self.assertEqual(store.granted_roles(), {"tenants/3": "10.2.0.5:8407 77"})
        self.assertEqual(store.members(), {"10.1.0.4:8080"})

    def test_the_state_of_the_log_is_read_and_written_as_before(self):
        golden = (FOLDER / "state_machine.bin").read_bytes()
        machine = ConfigurationStateMachine(max_recent=1, max_earlier=1)
        machine.restore(golden)
        self.assertEqual(machine.snapshot(), golden)
        self.assertEqual(golden_samples.state_bytes(), golden)
        self.assertEqual(
            (machine.config.ver, len(machine.recent), len(machine.earlier), machine.highest_forgotten_ver), (3, 1, 1, 1)
        )


class Pages(unittest.TestCase):
    maxDiff = None

    def test_settings_deploy_files_and_schemas_are_read_as_before(self):
        self.assertEqual(json.loads(json.dumps(golden_samples.parsed_files())), golden_json("files.json"))

    def test_both_deploy_files_name_their_packages(self):
        for name in ("system", "balancer"):
            deploy = msgspec.toml.decode(Path(f"deploy/{name}.toml").read_bytes())
            self.assertIn("python3", deploy["packages"])
        self.assertTrue(file_formats.DeployFile.__struct_fields__)

    def test_calls_of_control_are_answered_as_before(self):
        for answer, expected in zip(golden_samples.control_answers(), golden_json("control_calls.json"), strict=True):
            with self.subTest(method=expected["method"], path=expected["path"]):
                self.assertEqual(answer, expected)

    def test_a_controller_exports_its_metrics_as_before(self):
        self.assertEqual(golden_samples.metrics_page(), (FOLDER / "controller_metrics.txt").read_text())
