"""The command `crowseam demo`."""

import shutil
import sys
import tempfile
from pathlib import Path

import msgspec

from crowseam.cli import demo, demo_files
from crowseam.cli.console import Args, positive_number, print_json, print_text
from crowseam.cli.demo_verdict import verdict
from crowseam.cli.errors import DONE, FAILED, BadInputError
from crowseam.cli.tables import table


def run_demo(args: Args) -> int:
    """Run a small fleet on this computer and check the observations, or only write its files."""
    if args["--files"]:
        return _write_files(Path(args["DIR"]).absolute())
    seconds = positive_number(args, "--seconds", float)
    if seconds < demo.MIN_DURATION_S:
        raise BadInputError("--seconds", f"{args['--seconds']} is under {demo.MIN_DURATION_S:g}")
    folder = Path(args["DIR"] or tempfile.mkdtemp(prefix="crowseam-demo-")).absolute()
    print_progress = (lambda line: None) if args["--json"] else (lambda line: print(line, flush=True))
    keep = True
    try:
        observations = demo.run_demonstration(demo_files.write_files(folder), seconds, print_progress)
        checks = verdict(observations)
        all_passed = all(check.ok for check in checks)
        keep = bool(args["DIR"]) or not all_passed
    finally:
        if keep:
            sys.stderr.write(f"settings, stores and logs are in {folder}\n")
        else:
            shutil.rmtree(folder, ignore_errors=True)
    tenants = [{"tenant": name} | msgspec.to_builtins(counts) for name, counts in sorted(observations.tenants.items())]
    if args["--json"]:
        print_json({"tenants": tenants, "shown": checks})
    else:
        print_text("\n" + table(tenants) + "\n")
        print_text("".join(f"{'ok   ' if check.ok else 'WRONG'} {check.what}\n" for check in checks))
    return DONE if all_passed else FAILED


def _write_files(folder: Path) -> int:
    for role, file in demo_files.write_files(folder):
        print_text(f"CROWSEAM_BOOT={file} python3 -m crowseam {role}\n")
    machine = demo_files.MACHINES[0]
    address = f"{machine}:{demo_files.PORTS['ctl']}"
    print_text(f"python3 -m crowseam config put {folder / 'configuration.json'} --at {address}\n")
    print_text(
        f"curl -H 'Host: {demo_files.HOST}' -H 'Authorization: Bearer {demo_files.API_KEYS['kitchen']}' "
        f"-H 'X-Attempt-Id: 1' -H 'X-Time-Left: 2000' "
        f"http://{machine}:{demo_files.PORTS['http']}/menu/today\n"
    )
    return DONE
