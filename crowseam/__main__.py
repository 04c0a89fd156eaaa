"""The one program: the roles `gateway` and `controller`, and the command line."""

import sys
from pathlib import Path

try:
    import msgspec  # noqa: F401
except ModuleNotFoundError:
    # Where the build puts the libraries: on the path of the roles, but not of whoever types a command.
    sys.path.append(str(Path(__file__).resolve().parents[1] / "target" / "deps"))


def main(argv: list[str]) -> int:
    """Run the role or the command that the arguments name; return the exit code."""
    # The roles load neither the command line nor its libraries, since starting takes its time on small machines.
    if argv == ["gateway"]:
        from crowseam.gateway.daemon import main as role
    elif argv == ["controller"]:
        from crowseam.controller.daemon import main as role
    else:
        from crowseam.cli.dispatch import run

        return run(argv)
    return role() or 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
