"""The store: writes survive a loss of power at any time, and corruption is detected."""

from __future__ import annotations

import shutil
import sqlite3
import tempfile
import unittest
from pathlib import Path
from random import Random

from crowseam.consensus.messages import Ballot, ConfigurationEntry, NoOpEntry, Voter, VotersEntry
from crowseam.consensus.records import ChosenRecord, IdentityRecord, PromiseRecord, Record, SnapshotRecord, VoteRecord
from crowseam.consensus.voter_selection import assign_identity
from crowseam.model_checks.agreement.check import Disk
from crowseam.storage.errors import StoreError
from crowseam.storage.records import Member, Note
from crowseam.storage.store import Store

FOUNDERS = [Voter(f"genesis/{addr}", addr) for addr in "abc"]


class StoreTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.path = self.folder / "d" / "store.db"

    def open(self, path: Path | None = None) -> Store:
        store = Store(path or self.path)
        store.open()
        self.addCleanup(store.close)
        return store

    def begin(self) -> Store:
        store = self.open()
        store.write([IdentityRecord("genesis/a"), SnapshotRecord(0, b"", FOUNDERS, 1)])
        return store

    def edit(self, statement: str) -> None:
        with sqlite3.connect(self.path) as connection:
            connection.execute(statement)
        connection.close()


def records(rng: Random, step: int) -> list[Record]:
    """Random records that a voter might write at this step; every three steps share a slot."""
    slot, ballot = 1 + step // 3, Ballot(step, "n")
    entry = ConfigurationEntry(f"t{slot}", slot, slot - 1, True, rng.randbytes(rng.choice((10, 9000))), "d")
    return rng.choice(
        (
            [PromiseRecord(slot, ballot)],
            [VoteRecord(slot, ballot, entry)],
            [VoteRecord(slot, ballot, entry), ChosenRecord(slot, entry), PromiseRecord(slot + 1, ballot)],
            [ChosenRecord(slot, VotersEntry("v", FOUNDERS))],
            [SnapshotRecord(slot, b"state", FOUNDERS, max(1, slot - 3))],
        )
    )


class Durability(StoreTest):
    def test_it_behaves_like_the_model_of_a_disk(self):
        rng, model = Random(3), Disk()
        store = self.open()
        for step in range(120):
            batch = [IdentityRecord("me")] if step == 0 else records(rng, step)
            model.write(batch)
            store.write(batch)
            if step % 10 == 0:
                store.close()
                store = self.open()
            self.assertEqual(store.load(), model.load())

    def test_power_lost_at_any_write_keeps_what_was_synced(self):
        rng, model = Random(4), Disk()
        store = self.begin()
        model.write([IdentityRecord("genesis/a"), SnapshotRecord(0, b"", FOUNDERS, 1)])
        journal = self.path.with_name("store.db-wal")
        for step in range(40):
            batch = records(rng, step)
            store.write(batch)
            model.write(batch)
            # The synced files, followed by a torn part of the next write.
            copy = self.folder / f"copy{step}"
            copy.mkdir()
            shutil.copy(self.path, copy / "store.db")
            synced = journal.read_bytes()
            torn = rng.choice((b"", rng.randbytes(700), synced[32:4152], bytes(4120)))
            (copy / "store.db-wal").write_bytes(synced + torn)
            again = self.open(copy / "store.db")
            self.assertFalse(again.was_quarantined)
            self.assertEqual(again.load(), model.load())
            again.close()

    def test_a_failed_write_on_a_full_disk_leaves_nothing_and_the_next_one_succeeds(self):
        store = self.begin()
        store.write([Note("k", b"old")])
        pages = store._database.execute("PRAGMA page_count").fetchone()[0]
        store._database.execute(f"PRAGMA max_page_count={pages}")
        before = store.load()
        with self.assertRaises(StoreError):
            store.write([Note("k", b"new"), SnapshotRecord(1, bytes(200000), FOUNDERS, 1)])
        self.assertEqual((store.load(), store.notes()), (before, {"k": b"old"}))
        store._database.execute("PRAGMA max_page_count=100000")
        store.write([Note("k", None), Member("m", b"1"), SnapshotRecord(1, bytes(200000), FOUNDERS, 1)])
        self.assertEqual((store.load().highest_chosen_slot, store.notes(), store.members()), (1, {}, {"m": b"1"}))

    def test_a_store_that_is_not_open_raises(self):
        with self.assertRaises(StoreError):
            Store(self.path).write([IdentityRecord("x")])
        (self.folder / "file").write_bytes(b"")
        with self.assertRaises(StoreError):
            Store(self.folder / "file" / "store.db").open()


class Corruption(StoreTest):
    def filled(self) -> None:
        store = self.begin()
        store.write([ChosenRecord(1, NoOpEntry("one")), ChosenRecord(2, NoOpEntry("two"))])
        store.write([Note("n", b"1"), Note("m", b"2")])
        store.write([VoteRecord(3, Ballot(1, "x"), NoOpEntry("three"))])
        store.close()

    def test_a_corrupt_chosen_entry_is_dropped(self):
        self.filled()
        self.edit("UPDATE chosen SET body = x'00' WHERE key = 2")
        self.edit("UPDATE notes SET body = x'00' WHERE key = 'n'")
        store = self.open()
        durable = store.load()
        self.assertFalse(store.was_quarantined)
        self.assertEqual(
            (durable.chosen, durable.highest_chosen_slot, durable.id), ({1: NoOpEntry("one")}, 2, "genesis/a")
        )
        self.assertEqual(store.notes(), {"m": b"2"})

    def test_a_corrupt_promise_quarantines_the_store_and_its_id(self):
        for damage in (
            "UPDATE promises SET body = (SELECT body FROM votes LIMIT 1)",
            "UPDATE promises SET key = 9",
            "UPDATE votes SET sum = x'00'",
            "UPDATE identity SET body = 'genesis/b' WHERE key = 'id'",
            "UPDATE identity SET body = '0' WHERE key = 'floor'",
            "DELETE FROM identity WHERE key = 'id'",
            "DROP TABLE votes",
        ):
            with self.subTest(damage):
                shutil.rmtree(self.path.parent, ignore_errors=True)
                self.filled()
                self.edit(damage)
                store = self.open()
                self.assertTrue(store.was_quarantined)
                durable = store.load()
                self.assertEqual((durable.id, durable.votes, durable.snapshot), (None, {}, None))
                assign_identity(durable, "a", ["a", "b", "c"], False, Random(1))
                self.assertFalse(durable.id.startswith("genesis"))

    def test_a_write_ahead_log_without_its_database_is_quarantined(self):
        self.begin()
        self.path.unlink()
        store = self.open()
        self.assertTrue(store.was_quarantined)
        self.assertIsNone(store.load().id)

    def test_random_corruption_never_changes_data_unnoticed(self):
        self.filled()
        whole, rng = self.path.read_bytes(), Random(8)
        good = self.open()
        durable, notes = good.load(), good.notes()
        good.close()
        quarantined = 0
        for _ in range(250):
            data = bytearray(whole)
            kind = rng.randrange(4)
            at = rng.randrange(len(data))
            if kind == 0:
                del data[at:]
            elif kind == 1:
                data[at : at + 512] = rng.randbytes(len(data[at : at + 512]))
            else:
                for _ in range(kind):
                    data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
            shutil.rmtree(self.path.parent)
            self.path.parent.mkdir()
            self.path.write_bytes(data)
            store = self.open()
            read, left = store.load(), store.notes()
            store.close()
            quarantined += store.was_quarantined
            if read.id is None:
                self.assertEqual((read.votes, read.chosen, read.snapshot), ({}, {}, None))
                continue
            self.assertEqual(
                (read.id, read.highest_chosen_slot, read.votes),
                (durable.id, durable.highest_chosen_slot, durable.votes),
            )
            self.assertLessEqual(read.chosen.items(), durable.chosen.items())
            self.assertIn(read.snapshot, (durable.snapshot, None))
            self.assertLessEqual(left.items(), notes.items())
        self.assertGreater(quarantined, 20)


class SnapshotFiles(StoreTest):
    def test_a_snapshot_file_restores_an_empty_store_without_id_and_promises(self):
        store = self.begin()
        entry = ConfigurationEntry("t", 1, 0, True, b"{}", "d")
        store.write(
            [ChosenRecord(1, entry), ChosenRecord(2, VotersEntry("v", FOUNDERS)), VoteRecord(3, Ballot(1, "x"), entry)]
        )
        store.write([Note("k", b"v"), Member("m", b"w")])
        digest = store.snapshot(self.folder / "copy")
        other = self.open(self.folder / "other.db")
        new = [Voter("n", "n")]
        self.assertEqual(other.restore(self.folder / "copy", new), digest)
        durable = other.load()
        self.assertEqual(
            (durable.id, durable.votes, durable.highest_chosen_slot, durable.snapshot.voters), (None, {}, 2, new)
        )
        self.assertEqual(durable.chosen, {1: entry, 2: NoOpEntry("v")})
        self.assertEqual((other.notes(), other.members()), ({"k": b"v"}, {"m": b"w"}))
        with self.assertRaises(StoreError):
            other.restore(self.folder / "copy")

    def test_a_corrupt_snapshot_file_is_rejected(self):
        self.begin().snapshot(self.folder / "copy")
        data = bytearray((self.folder / "copy").read_bytes())
        data[-3] ^= 4
        (self.folder / "copy").write_bytes(data)
        other = self.open(self.folder / "other.db")
        with self.assertRaises(StoreError):
            other.restore(self.folder / "copy")
        self.assertIsNone(other.load().snapshot)


if __name__ == "__main__":
    unittest.main()
