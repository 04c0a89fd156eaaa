"""Parses the command line and runs the selected command."""

import sys

from docopt import DocoptExit, docopt

from crowseam.cli import config_commands, file_commands, operation_commands, retirement_commands, status_commands
from crowseam.cli.errors import BAD_INPUT, FAILED, CommandError
from crowseam.cli.usage import USAGE


def _store_commands():
    # Imported lazily: only these commands need the store and consensus.
    from crowseam.cli import store_commands

    return store_commands


def _simulation_commands():
    # Imported lazily: the simulator loads most of the code base.
    from crowseam.cli import simulation_commands

    simulation_commands.ensure_fixed_hash_seed()
    return simulation_commands


def _detection(args):
    from crowseam.cli.detection import detection

    return detection(args)


def _demo(args):
    from crowseam.cli.demo_command import run_demo

    return run_demo(args)


def _soak(args):
    from crowseam.cli.soak_command import soak

    return soak(args)


def _scale(args):
    from crowseam.capacity.scale_command import scale

    return scale(args)


def _scale_run(args):
    from crowseam.capacity.scale_run_command import scale_run

    return scale_run(args)


def _capacity(args):
    from crowseam.capacity.page import capacity

    return capacity(args)


def _model_check(args):
    from crowseam.cli.model_check import model_check

    return model_check(args)


def _metrics(args):
    from crowseam.cli.metrics_table import metrics

    return metrics(args)


COMMANDS = {
    "check": file_commands.check,
    "servers": status_commands.servers,
    "members": status_commands.members,
    "duties": status_commands.duties,
    "status": status_commands.status,
    "operations": operation_commands.operations,
    "metrics": _metrics,
    "retire": retirement_commands.retire,
    "retiring": retirement_commands.retiring,
    "trace": file_commands.trace,
    "schema": file_commands.schema,
    "demo": _demo,
    "soak": _soak,
    "snapshot": lambda args: _store_commands().snapshot(args),
    "restore": lambda args: _store_commands().restore(args),
    "model-check": _model_check,
    "scale": _scale,
    "scale-run": _scale_run,
    "capacity": _capacity,
    "detection": _detection,
    "simulate": lambda args: _simulation_commands().simulate(args),
    "experiment": lambda args: _simulation_commands().experiment(args),
    "plan": lambda args: _simulation_commands().plan(args),
    "replay": lambda args: _simulation_commands().replay_logs(args),
}
CONFIG_COMMANDS = {
    "get": config_commands.config_get,
    "put": config_commands.config_put,
    "diff": config_commands.config_diff,
    "history": config_commands.config_history,
}


def run(argv: list[str]) -> int:
    """Run the command that `argv` (without the program's name) selects, and return its exit code.

    Bad input and failures are reported as one line on standard error.
    """
    try:
        args = docopt(USAGE, argv)
    except DocoptExit:
        words = " ".join(argv) or "no command"
        sys.stderr.write(f"arguments: {words!r} is not understood; `crowseam --help` shows what is\n")
        return BAD_INPUT
    # `check config` also sets the `config` flag, so the `config` commands are matched last.
    command = next((COMMANDS[name] for name in COMMANDS if args[name]), None)
    if command is None:
        command = next(CONFIG_COMMANDS[name] for name in CONFIG_COMMANDS if args[name])
    try:
        return command(args)
    except CommandError as error:
        sys.stderr.write(f"{error}\n")
        return error.code
    except BrokenPipeError:
        # The reader of standard output has closed the pipe.
        sys.stderr.close()
        return FAILED
    except KeyboardInterrupt:
        return FAILED
