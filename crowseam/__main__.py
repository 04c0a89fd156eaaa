"""Entry point of the program: the roles `gateway` and `controller`, and the command line."""

import sys
from pathlib import Path

try:
    import msgspec  # noqa: F401
except ModuleNotFoundError:
    # The build installs the libraries there. The roles are started with it on their path; commands in a shell are not.
    sys.path.append(str(Path(__file__).resolve().parents[1] / "target" / "deps"))


def main(argv: list[str]) -> int:
    """Run the role or the command that the arguments name; return the exit code."""
    # Imported on demand, so that the roles start fast on small machines, without the command line and its libraries.
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
