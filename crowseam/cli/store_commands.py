"""The commands snapshot and restore, which work on the store file of a stopped process."""

import shutil
import sqlite3
import sys
import tempfile
from pathlib import Path
from typing import Any

from crowseam.cli.errors import DONE, BadInputError, CommandError
from crowseam.cli.file_checks import address_fault
from crowseam.configuration.text import version_text
from crowseam.consensus.messages import ConfigurationEntry, Voter, VotersEntry
from crowseam.consensus.records import ChosenRecord, DurableState, IdentityRecord
from crowseam.storage.errors import StoreError
from crowseam.storage.store import Store

Args = dict[str, Any]


def _check_not_in_use(path: Path) -> None:
    """Raise CommandError if a process has the store open. The store is not modified."""
    try:
        connection = sqlite3.connect(f"file:{path}?mode=rw", uri=True, timeout=0.0, isolation_level=None)
        try:
            connection.execute("PRAGMA locking_mode=EXCLUSIVE")
            connection.execute("BEGIN IMMEDIATE")
            connection.execute("ROLLBACK")
        finally:
            connection.close()
    except sqlite3.OperationalError as error:
        if "locked" in str(error):
            raise CommandError(f"{path} is in use; stop the process first") from None
        raise CommandError(f"{path}: {error}") from None
    except sqlite3.DatabaseError as error:
        raise CommandError(f"{path} is damaged: {error}") from None


def _last_contiguous_slot(durable: DurableState) -> int:
    """Return the last slot up to which all chosen entries are present."""
    last = durable.snapshot.slot if durable.snapshot is not None else 0
    while last + 1 in durable.chosen:
        last += 1
    return last


def _version_suffix(durable: DurableState) -> str:
    configurations = [
        durable.chosen[slot] for slot in sorted(durable.chosen) if isinstance(durable.chosen[slot], ConfigurationEntry)
    ]
    return f", version {version_text(configurations[-1].ver)}" if configurations else ""


def snapshot(args: Args) -> int:
    """Copy the store of a stopped process into a file with a digest."""
    path = Path(args["STORE"])
    if not path.is_file():
        raise BadInputError("STORE", f"{path} is no file")
    _check_not_in_use(path)
    # Opening a damaged store quarantines its file, so a copy is opened instead.
    try:
        with tempfile.TemporaryDirectory() as folder:
            for suffix in ("", "-wal"):
                source = path.with_name(path.name + suffix)
                if source.exists():
                    shutil.copyfile(source, Path(folder) / f"store{suffix}")
            store = Store(Path(folder) / "store")
            store.open()
            try:
                if store.was_quarantined:
                    raise CommandError(f"{path} is damaged")
                durable = store.load()
                digest = store.snapshot(args["FILE"][0])
            finally:
                store.close()
    except (StoreError, OSError) as error:
        raise CommandError(f"snapshot: {error}") from None
    sys.stdout.write(f"slot {_last_contiguous_slot(durable)}{_version_suffix(durable)}, digest {digest}\n")
    return DONE


def _parse_voters(args: Args, digest: str) -> tuple[Voter, list[Voter]]:
    if args["--me"] is None:
        raise BadInputError("--me", "is missing beside --voters")
    addresses = sorted({item.strip() for item in args["--voters"].split(",") if item.strip()})
    for field, values in (("--voters", addresses), ("--me", [args["--me"]])):
        for address in values:
            fault = address_fault(address)
            if fault:
                raise BadInputError(field, fault)
    if args["--me"] not in addresses:
        raise BadInputError("--me", f"{args['--me']} is not among the voters")
    voters = [Voter(f"restored/{digest[:24]}/{address}", address) for address in addresses]
    return voters[addresses.index(args["--me"])], voters


def restore(args: Args) -> int:
    """Create a store from a snapshot; with --voters, replace the voters of a system that has lost all of them."""
    path, file = Path(args["STORE"]), Path(args["FILE"][0])
    if path.exists():
        raise BadInputError("STORE", f"{path} is there already")
    if not file.is_file():
        raise BadInputError("FILE", f"{file} is no file")
    if args["--voters"] is not None:
        _parse_voters(args, "")
    elif args["--me"] is not None:
        raise BadInputError("--voters", "is missing beside --me")
    store = Store(path)
    try:
        store.open()
        try:
            digest = store.restore(file)
            durable = store.load()
            last_slot = _last_contiguous_slot(durable)
            if args["--voters"] is not None:
                if last_slot < durable.highest_chosen_slot:
                    raise CommandError(f"the snapshot lacks entries after slot {last_slot}; use another one")
                me, voters = _parse_voters(args, digest)
                # Every machine restored from this snapshot writes the same entry, so it counts as chosen.
                entry = VotersEntry(f"restored/{digest[:24]}", voters)
                store.write([IdentityRecord(me.id), ChosenRecord(last_slot + 1, entry)])
        finally:
            store.close()
    except (StoreError, CommandError) as error:
        for suffix in ("", "-wal", "-shm"):
            path.with_name(path.name + suffix).unlink(missing_ok=True)
        raise CommandError(f"restore: {error}") from None
    sys.stdout.write(f"slot {last_slot}{_version_suffix(durable)}, digest {digest}\n")
    return DONE
