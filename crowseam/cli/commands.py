"""The commands of the command line: each takes the parsed arguments and returns an exit code."""

import os
import random
import sys
import time
from typing import Any

import msgspec

from crowseam.cli import configuration_diff, control_client, file_checks
from crowseam.cli.console import Args, number, print_json, print_text, read_file, write_file
from crowseam.cli.errors import BAD_INPUT, DONE, FAILED, BadInputError, CommandError, UnclearError
from crowseam.cli.tables import cell, rows, table
from crowseam.configuration.errors import ConfigurationError
from crowseam.configuration.model import Configuration
from crowseam.configuration.text import version


def _addresses(args: Args) -> list[str]:
    listed, field = args["--at"], "--at"
    if listed is not None:
        addresses = [each.strip() for each in listed.split(",") if each.strip()]
    else:
        path = os.environ.get("CROWSEAM_BOOT")
        if not path:
            raise BadInputError("--at", "is missing, and CROWSEAM_BOOT names no settings file")
        field = "seeds"
        try:
            addresses = msgspec.json.decode(read_file(path, "CROWSEAM_BOOT"))["seeds"]
        except (msgspec.DecodeError, KeyError, TypeError):
            raise BadInputError("seeds", f"cannot be read from {path}") from None
    for address in addresses:
        host, colon, port = str(address).rpartition(":")
        if not (colon and host and port.isdigit() and 0 < int(port) < 65536):
            raise BadInputError(field, f"{address!r} is not an address such as 10.1.0.5:8407")
    if not addresses:
        raise BadInputError(field, "names no address")
    return addresses


def caller(args: Args) -> control_client.Caller:
    """Return what makes the calls of one command. Raises BadInputError."""
    rng = random.Random()
    addresses = _addresses(args)
    rng.shuffle(addresses)
    return control_client.Caller(
        addresses, number(args, "--within", float), control_client.send, time.monotonic, time.sleep, rng
    )


def _call(args: Args, name: str, body: bytes = b"") -> control_client.Answer:
    result = caller(args).call(name, body)
    if result.is_error():
        raise result.error
    return result.ok


def _data(answer: control_client.Answer) -> Any:
    try:
        return msgspec.json.decode(answer.body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise UnclearError("the answer is not JSON") from None


def check(args: Args) -> int:
    """Check a file and print every fault."""
    kind = next(name for name in ("settings", "deploy", "config") if args[name])
    body = read_file(args["FILE"][0], "FILE")
    found = {
        "settings": file_checks.check_settings,
        "deploy": file_checks.check_deploy,
        "config": file_checks.check_config,
    }[kind](body)
    if args["--json"]:
        print_json([{"field": field, "text": text} for field, text in found])
    elif not found:
        print_text("ok\n")
    else:
        for field, text in found:
            sys.stderr.write(f"{field or kind}: {text}\n")
    return BAD_INPUT if found else DONE


def config_get(args: Args) -> int:
    """Print the newest configuration, whole."""
    body = _call(args, "config").body
    if args["--out"]:
        write_file(args["--out"], body, "--out")
    else:
        print_text(body.decode("utf-8", "replace") + "\n")
    return DONE


def config_put(args: Args) -> int:
    """Send a whole configuration, or a PATCH where the file holds one, until a clear answer comes."""
    body = read_file(args["FILE"][0], "FILE")
    patch = file_checks.is_patch(body)
    if not args["--no-check"]:
        found = file_checks.check_config(body)
        if found:
            raise BadInputError(*found[0])
    _call(args, "patch" if patch else "put", body)
    try:
        ver = msgspec.json.decode(body)["ver"]
    except (msgspec.DecodeError, KeyError, TypeError):
        ver = None
    if args["--json"]:
        print_json({"taken": True, "ver": ver})
    else:
        print_text(f"taken: version {cell(ver)}\n")
    return DONE


def _configuration(body: bytes, field: str) -> Configuration:
    try:
        return Configuration.from_put(body)
    except ConfigurationError as error:
        raise BadInputError(f"{field}: {error.field}" if error.field else field, error.text) from None


def config_diff(args: Args) -> int:
    """Print what differs between two files, or between the configuration in force and a file."""
    new = _configuration(read_file(args["NEW"], "NEW"), "NEW")
    if args["OLD"] is None:
        old = _configuration(_call(args, "config").body, "the configuration in force")
    else:
        old = _configuration(read_file(args["OLD"], "OLD"), "OLD")
    if args["--as-patch"] is not None:
        try:
            ver = version(args["--as-patch"], "--as-patch")
        except ConfigurationError as error:
            raise BadInputError(error.field, error.text) from None
        if ver <= old.ver:
            raise BadInputError("--as-patch", f"{args['--as-patch']} is not above {old.ver:08x}")
        print_text(configuration_diff.as_patch(old, new, args["--as-patch"]).decode() + "\n")
        return DONE
    found = configuration_diff.differences(old, new)
    if args["--json"]:
        print_json({"from": f"{old.ver:08x}", "to": f"{new.ver:08x}", "items": found})
    else:
        print_text(
            "".join(f"{line}\n" for line in [f"{old.ver:08x} -> {new.ver:08x}", *configuration_diff.lines(found)])
        )
    return DONE


def _listing(args: Args, name: str) -> int:
    data = _data(_call(args, name))
    if args["--json"]:
        print_json(data)
    else:
        print_text(table(rows(data, name)))
    return DONE


def config_history(args: Args) -> int:
    """Print the versions the system remembers."""
    return _listing(args, "history")


def servers(args: Args) -> int:
    """Print the servers that are known."""
    return _listing(args, "servers")


def members(args: Args) -> int:
    """Print the machines that are known."""
    return _listing(args, "members")


def duties(args: Args) -> int:
    """Print which machine does which duty, and under which fence."""
    return _listing(args, "duties")


def faults(status: dict[str, Any]) -> list[str]:
    """Return what one controller's status shows to be wrong; a field that is missing shows nothing."""
    found = []
    if status.get("in_touch") is False:
        found.append("reaches no majority of the voters")
    if status.get("voter") is False and status.get("voting") is True:
        found.append("has a disk and no vote")
    if late := status.get("disk_late_s"):
        found.append(f"its disk has not written for {late:.1f} s")
    if silent := status.get("silent"):
        found.append(f"servers that give no sign of life: {', '.join(map(str, silent))}")
    found += [f"knows of no {what}" for what in ("gateways", "servers") if status.get(what) == 0]
    return found


def summed(answers: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return one view out of the status of several addresses: `wrong` (lines) and `at` (by address).

    answers: (address, Result of an Answer). Listed are what the status of each address shows to be wrong,
    addresses that do not answer, and versions of the configuration that differ.
    """
    wrong: dict[str, None] = {}
    at: dict[str, Any] = {}
    versions: dict[str, list[str]] = {}
    for address, result in answers:
        if result.is_error():
            wrong[f"{address} does not answer: {result.error}"] = None
            continue
        try:
            status = _data(result.ok)
        except CommandError as error:
            wrong[f"{address}: {error}"] = None
            continue
        if not isinstance(status, dict):
            wrong[f"{address}: the answer is no object"] = None
            continue
        at[address] = status
        for line in faults(status):
            wrong[f"{address}: {line}"] = None
        if "ver" in status:
            versions.setdefault(cell(status["ver"]), []).append(address)
    if len(versions) > 1:
        wrong[
            "versions differ: " + "; ".join(f"{ver} at {', '.join(where)}" for ver, where in sorted(versions.items()))
        ] = None
    return {"wrong": list(wrong), "at": at}


def status(args: Args) -> int:
    """Print, on one screen, what is wrong now. FAILED when anything is."""
    view = summed(sorted(caller(args).each("status"), key=lambda each: each[0]))
    if args["--json"]:
        print_json(view)
    else:
        print_text("".join(f"WRONG {line}\n" for line in view["wrong"][:20]) or "nothing is wrong\n")
        if len(view["wrong"]) > 20:
            print_text(f"and {len(view['wrong']) - 20} more\n")
        records = [
            {"addr": address} | {name: value for name, value in each.items() if name != "wrong"}
            for address, each in view["at"].items()
        ]
        if records:
            print_text("\n" + table(records))
    return FAILED if view["wrong"] else DONE


def retire(args: Args) -> int:
    """Take servers out of use, or put them back."""
    body: dict[str, Any] = {"undo": bool(args["--undo"])}
    for option, field in (("--server", "id"), ("--version", "ver"), ("--zone", "az"), ("--svc", "svc")):
        if args[option] is not None:
            if not args[option]:
                raise BadInputError(option, "is empty")
            body[field] = args[option]
    if "id" in body and "svc" in body:
        raise BadInputError("--svc", "does not go with --server, whose id says it all")
    if args["--wait"] and body["undo"]:
        raise BadInputError("--wait", "does not go with --undo")
    if args["--force"]:
        body["force"] = True
    most = number(args, "--most", float)
    answer = _call(args, "retire", msgspec.json.encode(body))
    data = _data(answer) if answer.body.strip() else {}
    if not args["--json"]:
        print_text(("back in use" if body["undo"] else "retired") + f": {cell(data)}\n")
    if args["--wait"]:
        data["servers"] = _until_safe(args, data.get("found") or [], most)
    if args["--json"]:
        print_json(data)
    return DONE


def _until_safe(args: Args, idents: list[str], most: float) -> list[dict[str, Any]]:
    from crowseam.cli.retirement_wait import Wait

    ask = caller(args)

    def look(ident: str) -> dict[str, Any]:
        result = ask.call("retiring", ident=ident)
        if result.is_error():
            raise result.error
        return _data(result.ok)

    rows = Wait(look, time.monotonic, time.sleep, lambda line: print(line, file=sys.stderr, flush=True)).until_safe(
        idents, most
    )
    if not args["--json"]:
        print_text(f"safe to switch off: {cell([row['id'] for row in rows])}\n")
    return rows


def retiring(args: Args) -> int:
    """Print servers that leave and who still has requests under way there; with --wait, until none has."""
    most = number(args, "--most", float)
    if args["--wait"]:
        found = _until_safe(args, [args["ID"]] if args["ID"] else [], most)
        if args["--json"]:
            print_json({"servers": found})
        return DONE
    result = caller(args).call("retiring", ident=args["ID"] or "")
    if result.is_error():
        raise result.error
    data = _data(result.ok)
    if args["--json"]:
        print_json(data)
        return DONE
    print_text(table(rows(data, "servers")))
    for name in ("away", "silent"):
        if data.get(name):
            print_text(f"{name}: {cell(data[name])}\n")
    if not data.get("in_touch"):
        print_text("the controller asked has no majority\n")
    return DONE


def trace(args: Args) -> int:
    """Print the events of one request out of several logs."""
    from crowseam.cli.trace import follow

    logs = [(path, read_file(path, "FILE").decode("utf-8", "replace").splitlines()) for path in args["FILE"]]
    found = follow(args["ID"], logs)
    if args["--json"]:
        print_json(found)
    else:
        for event in found:
            pairs = " ".join(f"{name}={cell(value)}" for name, value in event.items() if name not in ("log", "line"))
            print_text(f"{event['log']}:{event['line']} {pairs}\n")
    if not found:
        sys.stderr.write(f"ID: no event holds {args['ID']!r}\n")
        return FAILED
    return DONE


def schema(args: Args) -> int:
    """Print the JSON Schema of one kind of file, of configurations if none is named."""
    from crowseam.cli.schema import SCHEMAS
    from crowseam.cli.schema import schema as written

    print_json(written(next((name for name in SCHEMAS if args[name]), "config")))
    return DONE
