"""The commands check, schema and trace, which work on files."""

import sys

from crowseam.cli import file_checks
from crowseam.cli.console import Args, print_json, print_text, read_file
from crowseam.cli.errors import BAD_INPUT, DONE, FAILED
from crowseam.cli.schema import SCHEMAS, schema_of
from crowseam.cli.tables import cell
from crowseam.cli.trace import find_events


def check(args: Args) -> int:
    """Check a file and print all faults."""
    kind = next(name for name in ("settings", "deploy", "config") if args[name])
    body = read_file(args["FILE"][0], "FILE")
    faults = {
        "settings": file_checks.check_settings,
        "deploy": file_checks.check_deploy,
        "config": file_checks.check_config,
    }[kind](body)
    if args["--json"]:
        print_json([{"field": field, "text": text} for field, text in faults])
    elif not faults:
        print_text("ok\n")
    else:
        for field, text in faults:
            sys.stderr.write(f"{field or kind}: {text}\n")
    return BAD_INPUT if faults else DONE


def trace(args: Args) -> int:
    """Print the events of one request from several logs."""
    logs = [(path, read_file(path, "FILE").decode("utf-8", "replace").splitlines()) for path in args["FILE"]]
    events = find_events(args["ID"], logs)
    if args["--json"]:
        print_json(events)
    else:
        for event in events:
            pairs = " ".join(f"{name}={cell(value)}" for name, value in event.items() if name not in ("log", "line"))
            print_text(f"{event['log']}:{event['line']} {pairs}\n")
    if not events:
        sys.stderr.write(f"ID: no event holds {args['ID']!r}\n")
        return FAILED
    return DONE


def schema(args: Args) -> int:
    """Print the JSON Schema of one kind of file; configurations by default."""
    print_json(schema_of(next((name for name in SCHEMAS if args[name]), "config")))
    return DONE
