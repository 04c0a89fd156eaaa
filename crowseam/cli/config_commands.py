"""The `config` commands: get, put, diff and history."""

import msgspec

from crowseam.cli import configuration_diff, file_checks
from crowseam.cli.calls import call, print_listing
from crowseam.cli.console import Args, print_json, print_text, read_file, write_file
from crowseam.cli.errors import DONE, BadInputError
from crowseam.cli.tables import cell
from crowseam.configuration.errors import ConfigurationError
from crowseam.configuration.model import Configuration
from crowseam.configuration.text import version


def config_get(args: Args) -> int:
    """Print the newest configuration in full."""
    body = call(args, "config").body
    if args["--out"]:
        write_file(args["--out"], body, "--out")
    else:
        print_text(body.decode("utf-8", "replace") + "\n")
    return DONE


def config_put(args: Args) -> int:
    """Send a full configuration, or a PATCH if the file holds one, and retry until there is a definite answer."""
    body = read_file(args["FILE"][0], "FILE")
    patch = file_checks.is_patch(body)
    if not args["--no-check"]:
        faults = file_checks.check_config(body)
        if faults:
            raise BadInputError(*faults[0])
    call(args, "patch" if patch else "put", body)
    try:
        ver = msgspec.json.decode(body)["ver"]
    except (msgspec.DecodeError, KeyError, TypeError):
        ver = None
    if args["--json"]:
        print_json({"taken": True, "ver": ver})
    else:
        print_text(f"taken: version {cell(ver)}\n")
    return DONE


def _parse_configuration(body: bytes, field: str) -> Configuration:
    try:
        return Configuration.from_put(body)
    except ConfigurationError as error:
        raise BadInputError(f"{field}: {error.field}" if error.field else field, error.text) from None


def config_diff(args: Args) -> int:
    """Print the differences between two files, or between the active configuration and a file."""
    new = _parse_configuration(read_file(args["NEW"], "NEW"), "NEW")
    if args["OLD"] is None:
        old = _parse_configuration(call(args, "config").body, "the configuration in force")
    else:
        old = _parse_configuration(read_file(args["OLD"], "OLD"), "OLD")
    if args["--as-patch"] is not None:
        try:
            ver = version(args["--as-patch"], "--as-patch")
        except ConfigurationError as error:
            raise BadInputError(error.field, error.text) from None
        if ver <= old.ver:
            raise BadInputError("--as-patch", f"{args['--as-patch']} is not above {old.ver:08x}")
        print_text(configuration_diff.make_patch(old, new, args["--as-patch"]).decode() + "\n")
        return DONE
    records = configuration_diff.differences(old, new)
    if args["--json"]:
        print_json({"from": f"{old.ver:08x}", "to": f"{new.ver:08x}", "items": records})
    else:
        print_text(
            "".join(
                f"{line}\n" for line in [f"{old.ver:08x} -> {new.ver:08x}", *configuration_diff.format_lines(records)]
            )
        )
    return DONE


def config_history(args: Args) -> int:
    """Print the configuration versions that the system has retained."""
    return print_listing(args, "history")
