"""The command `crowseam scale-run`."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path

import msgspec

from crowseam.capacity import loads
from crowseam.capacity.loads import Load
from crowseam.capacity.scale_record import RunRecord, summary
from crowseam.capacity.scale_run import run_size
from crowseam.cli.console import Args, print_json, print_text, read_file
from crowseam.cli.errors import DONE, FAILED, BadInputError
from crowseam.cli.tables import table

MAX_GATEWAYS = 100_000


def parse_sizes(args: Args, load: Load) -> list[int]:
    """Return the sizes to run, in gateways. Raises BadInputError."""
    if args["--gateways"] is None:
        return list(load.gateways)
    try:
        sizes = [int(each) for each in args["--gateways"].split(",")]
    except ValueError:
        sizes = []
    if not sizes or not all(0 < size <= MAX_GATEWAYS for size in sizes):
        raise BadInputError(
            "--gateways", f"{args['--gateways']!r} is not a comma-separated list of numbers such as 50,100"
        )
    return sizes


def _write_record(record: RunRecord, folder: Path) -> None:
    try:
        folder.mkdir(parents=True, exist_ok=True)
        file = folder / f"scale-run-{record.gateways}.json"
        file.write_bytes(msgspec.json.format(msgspec.json.encode(record), indent=1) + b"\n")
    except OSError as error:
        raise BadInputError("--out", str(error)) from None


def scale_run(args: Args) -> int:
    """Run each size and write its record. Raises BadInputError."""
    load = loads.parse(read_file(args["FILE"][0], "FILE"))
    records = []
    for gateways in parse_sizes(args, load):
        sys.stderr.write(f"{gateways} gateways\n")
        with tempfile.TemporaryDirectory(prefix="scale-run-") as folder:
            record = asyncio.run(run_size(load, gateways, Path(folder), lambda line: print(line, file=sys.stderr)))
        records.append(record)
        if args["--out"]:
            _write_record(record, Path(args["--out"]))
    if args["--json"]:
        print_json(records)
    else:
        print_text(table([summary(record) for record in records]))
    return FAILED if any(record.failed for record in records) else DONE
