"""What the command line looks like."""

USAGE = """folio: the gateway and its toolbox.

Usage:
  folio desk
  folio registry
  folio check (settings | deploy | config) FILE [--json]
  folio config get [--at=LIST] [--within=S] [--out=FILE]
  folio config put FILE [--at=LIST] [--within=S] [--no-check] [--json]
  folio config diff NEW [--at=LIST] [--within=S] [--as-patch=VER | --json]
  folio config diff OLD NEW [--as-patch=VER | --json]
  folio config history [--at=LIST] [--within=S] [--json]
  folio (servers | members | duties) [--at=LIST] [--within=S] [--json]
  folio status [--at=LIST] [--within=S] [--json]
  folio retire (--server=ID | --version=VER | --zone=AZ) [--svc=SVC] [--undo]
               [--at=LIST] [--within=S] [--json]
  folio trace ID FILE... [--json]
  folio snapshot STORE FILE
  folio restore FILE STORE [--voters=LIST --me=ADDR]
  folio schema [config | patch | settings | deploy]
  folio model-check [--seeds=N] [--steps=N]
  folio demo DIR [--run]
  folio --help

The roles `desk` and `registry` read the settings file that the variable CROWSEAM_BOOT names.

Options:
  --at=LIST       Control addresses to call, as 10.1.0.5:8407,10.2.0.3:8407. Left out, the seeds of the
                  settings file that CROWSEAM_BOOT names are called.
  --within=S      Seconds after which a call is given up [default: 15].
  --out=FILE      Write to this file, not to standard output.
  --no-check      Send the file without checking it here first.
  --as-patch=VER  Print the PATCH body that leads to NEW, under this version (eight hex digits).
  --server=ID     The server with this id.
  --version=VER   The servers that run this version of their software.
  --zone=AZ       The servers in this zone.
  --svc=SVC       Only those of this service.
  --undo          Take the retirement back.
  --voters=LIST   The control addresses that vote from now on, the former voters being gone for good.
  --me=ADDR       Which of them this store is for.
  --seeds=N       How many random schedules to try [default: 200].
  --steps=N       How many acts each schedule has [default: 30].
  --run           Start the processes of the demonstration, and stand-in servers, until interrupted.
  --json          Print JSON for programs in place of tables for people.

Exit codes: 0 done, 1 failed or not reached, 2 bad input, 3 refused by the system.
"""
