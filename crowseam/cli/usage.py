"""What the command line looks like."""

USAGE = """crowseam: the gateway and its command line.

Usage:
  crowseam gateway
  crowseam controller
  crowseam check (settings | deploy | config) FILE [--json]
  crowseam config get [--at=LIST] [--within=S] [--out=FILE]
  crowseam config put FILE [--at=LIST] [--within=S] [--no-check] [--json]
  crowseam config diff NEW [--at=LIST] [--within=S] [--as-patch=VER | --json]
  crowseam config diff OLD NEW [--as-patch=VER | --json]
  crowseam config history [--at=LIST] [--within=S] [--json]
  crowseam (servers | members | duties) [--at=LIST] [--within=S] [--json]
  crowseam status [--at=LIST] [--within=S] [--json]
  crowseam metrics [--at=LIST] [--json]
  crowseam retire (--server=ID | --version=VER | --zone=AZ) [--svc=SVC] [--undo | --force]
               [--wait] [--most=S] [--at=LIST] [--within=S] [--json]
  crowseam retiring [ID] [--wait] [--most=S] [--at=LIST] [--within=S] [--json]
  crowseam trace ID FILE... [--json]
  crowseam snapshot STORE FILE
  crowseam restore FILE STORE [--voters=LIST --me=ADDR]
  crowseam schema [config | patch | settings | deploy]
  crowseam model-check [--part=P] [--seeds=N] [--from=SEED] [--steps=N] [--jobs=N] [--mutants | --guards]
  crowseam demo [DIR] [--seconds=S] [--json]
  crowseam demo DIR --files
  crowseam scale --curve [--plot=DIR] [--heartbeat=S] [--json]
  crowseam scale-run FILE [--gateways=LIST] [--out=DIR] [--json]
  crowseam capacity [--records=DIR] [--page=FILE] [--json]
  crowseam scale [--gateways=N] [--servers=N] [--tenants=N] [--controllers=N] [--heartbeat=S] [--json]
  crowseam detection [--runs=N] [--json]
  crowseam simulate DAY [--seed=N] [--set=LIST] [--log=FILE] [--json]
  crowseam experiment FILE [--jobs=N] [--report=OUT] [--no-plots] [--keep=STORE] [--json]
  crowseam plan DAY [--lose-zone=LIST] [--retire=LIST] [--double=LIST] [--load=LIST]
             [--runs=N] [--jobs=N] [--json]
  crowseam replay LOG... --day=DAY [--seed=N] [--set=LIST] [--log=FILE] [--json]
  crowseam --help

The roles `gateway` and `controller` read the settings file that the variable CROWSEAM_BOOT names.

Options:
  --at=LIST       Control addresses to call, as 10.1.0.5:8407,10.2.0.3:8407. Left out, the seeds of the
                  settings file that CROWSEAM_BOOT names are called.
  --within=S      Seconds after which a call is given up [default: 15].
  --out=FILE      Write to this file, not to standard output; a scale run keeps its records in a directory.
  --records=DIR   Where the records of scale runs are kept [default: docs/capacity].
  --page=FILE     Write the tables into this page, between its markers, in place of printing them.
  --no-check      Send the file without checking it here first.
  --as-patch=VER  Print the PATCH body that leads to NEW, under this version (eight hex digits).
  --server=ID     The server with this id.
  --version=VER   The servers that run this version of their software.
  --zone=AZ       The servers in this zone.
  --svc=SVC       Only those of this service.
  --undo          Take the retirement back.
  --force         Retire them even if nothing, or under a third, would remain of a service.
  --wait          Wait until they are safe to switch off, and say on standard error what for.
  --most=S        Seconds to wait at most [default: 600].
  --voters=LIST   The control addresses that vote from now on, the former voters being gone for good.
  --me=ADDR       Which of them this store is for.
  --part=P        What to drive: agreement, quotas, callers, handover, catchup, membership, orders, cutoff,
                  both (the first two) or all [default: agreement].
  --seeds=N       How many random schedules to try [default: 200].
  --from=SEED     The first seed [default: 0].
  --steps=N       How many acts each schedule has; left out, as many as the part is made for.
  --guards        Print each guard with the seed that finds its absence, or why none does.
  --mutants       Leave one guard of the code out at a time, and tell how soon a schedule finds that.
  --seconds=S     How long the demonstration has clients; 10 at least [default: 20].
  --files         Only write the files of the demonstration, and print the commands that start it.
  --seed=N        What the run's chances are drawn from [default: 1].
  --set=LIST      Constants of the code in this run, as crowseam.gateway.load_balancer:HEDGE=5,...
  --gateways=N       Ingresses that carry traffic; 96 unless said.  Of a scale run: its sizes, as 50,100,200.
  --servers=N     Servers of all services [default: 264].
  --tenants=N     Tenants with a quota [default: 88].
  --controllers=N  Controllers [default: 6].
  --heartbeat=S        Seconds between two reports of a server [default: 1.3].
  --curve         Go through sizes from 14 to 1,000 ingresses, and measure the code against size.
  --plot=DIR      Draw each curve into this directory, as SVG.
  --log=FILE      Write what the simulated processes log to this file.
  --runs=N        Runs of each case [default: 3].
  --jobs=N        Runs at once; left out, one a core.
  --report=OUT    Write a report (HTML) to this file, with plots.
  --no-plots      Leave the plots out of the report.
  --keep=STORE    Keep the results in this file, and compare with those kept last.
  --lose-zone=LIST  Zones, each lost in a run of its own.
  --retire=LIST   Servers to take away, as SERVICE:COUNT,...
  --double=LIST   Tenants that ask twice as much, each in a run of its own.
  --load=LIST     Factors of the whole load, as 1.5,2.
  --day=DAY       The deployment in which the requests of the logs are played.
  --json          Print JSON for programs in place of tables for people.

Exit codes: 0 done, 1 failed or not reached, 2 bad input, 3 refused by the system.
"""
