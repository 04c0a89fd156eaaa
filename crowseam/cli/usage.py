"""The text of `crowseam --help`, from which docopt parses the command line."""

USAGE = """crowseam: an API gateway for a fleet, and its command line.

Usage:
  crowseam gateway
  crowseam controller
  crowseam check (settings | deploy | config) FILE [--json]
  crowseam schema [config | patch | settings | deploy]
  crowseam config get [--at=LIST] [--within=S] [--out=FILE]
  crowseam config put FILE [--at=LIST] [--within=S] [--no-check] [--json]
  crowseam config diff NEW [--at=LIST] [--within=S] [--as-patch=VER | --json]
  crowseam config diff OLD NEW [--as-patch=VER | --json]
  crowseam config history [--at=LIST] [--within=S] [--json]
  crowseam (servers | members | duties) [--at=LIST] [--within=S] [--json]
  crowseam operations [--key=KEY [--tenant=NAME]] [--at=LIST] [--within=S] [--json]
  crowseam status [--at=LIST] [--within=S] [--json]
  crowseam metrics [--at=LIST] [--json]
  crowseam retire (--server=ID | --version=VER | --zone=AZ) [--svc=SVC] [--undo | --force]
                  [--wait] [--most=S] [--at=LIST] [--within=S] [--json]
  crowseam retiring [ID] [--wait] [--most=S] [--at=LIST] [--within=S] [--json]
  crowseam trace ID FILE... [--json]
  crowseam snapshot STORE FILE
  crowseam restore FILE STORE [--voters=LIST --me=ADDR]
  crowseam demo [DIR] [--seconds=S] [--json]
  crowseam demo DIR --files
  crowseam soak [--seeds=N] [--from=SEED] [--machines=N] [--seconds=S] [--jobs=N] [--out=DIR] [--json]
  crowseam simulate DAY [--seed=N] [--set=LIST] [--log=FILE] [--json]
  crowseam experiment FILE [--jobs=N] [--report=OUT] [--no-plots] [--keep=STORE] [--json]
  crowseam plan DAY [--lose-zone=LIST] [--retire=LIST] [--double=LIST] [--load=LIST]
                [--runs=N] [--jobs=N] [--json]
  crowseam replay LOG... --day=DAY [--seed=N] [--set=LIST] [--log=FILE] [--json]
  crowseam detection [--runs=N] [--json]
  crowseam model-check [--part=P] [--seeds=N] [--from=SEED] [--steps=N] [--jobs=N] [--mutants | --guards]
  crowseam scale --curve [--plot=DIR] [--heartbeat=S] [--json]
  crowseam scale [--gateways=N] [--servers=N] [--tenants=N] [--controllers=N] [--heartbeat=S] [--json]
  crowseam scale-run FILE [--gateways=LIST] [--out=DIR] [--json]
  crowseam capacity [--records=DIR] [--page=FILE] [--json]
  crowseam --help

Roles:
  gateway         Carry traffic.
  controller      Serve control.  Both read the settings file that CROWSEAM_BOOT names.

Files:
  check           Print every fault of a settings file, a deploy file or a configuration.
  schema          Print the JSON Schema of one kind of file, of configurations if none is named.
  trace           Print the events of one request out of several logs.
  snapshot        Copy the store of a process that is stopped into a file.
  restore         Make a new store from such a copy.

The running system:
  config          Print, send and compare configurations.
  servers         Print the servers that are known; members the machines, duties who does which duty.
  operations      Print what each controller keeps of keyed operations, or of the one with a key.
  status          Print what is wrong now.
  metrics         Print the sums of what the daemons have counted.
  retire          Take servers out of use, or put them back; retiring shows how far that is.

Trying it out:
  demo            Run three machines on this computer, and judge what was seen.
  soak            Trouble many processes on this computer by seeded faults, and judge the history of all calls.
  simulate        Play a day on a virtual clock; replay plays what logs say was asked.
  experiment      Play variants of a day side by side.
  plan            Play a day with zones lost, servers retired, tenants or the load grown.
  detection       Measure how soon controllers notice that another is gone.
  model-check     Drive the real code through random schedules of faults.
  scale           Count the bytes of control, and measure the code, at one size or many.
  scale-run       Play real and hollow processes on this machine, and keep records.
  capacity        Carry the records of scale runs to the size to come.

Options:
  --json              Print JSON for programs in place of tables for people.
  --at=LIST           Control addresses to call, as 10.1.0.5:8407,10.2.0.3:8407; left out, the seeds of the
                      settings file that CROWSEAM_BOOT names.
  --within=S          Seconds after which a call is given up [default: 15].
  --out=FILE          File to write in place of standard output; of a scale run, directory of its records; of a
                      soak, of the logs and history of each that broke a promise.

Operation options:
  --key=KEY           The `X-Op-Key` of one operation.
  --tenant=NAME       Whose it is; left out, it is on a public route.

Configuration options:
  --no-check          Send the file without checking it here first.
  --as-patch=VER      Print the PATCH body that leads to NEW, under this version (eight hex digits).

Retirement options:
  --server=ID         The server with this id.
  --version=VER       The servers that run this version of their software.
  --zone=AZ           The servers in this zone.
  --svc=SVC           Only those of this service.
  --undo              Take the retirement back.
  --force             Retire them even if nothing, or under a third, would remain of a service.
  --wait              Wait until they are safe to switch off, and say on standard error what for.
  --most=S            Seconds to wait at most [default: 600].

Store options:
  --voters=LIST       Control addresses that vote from now on, the former voters being gone for good.
  --me=ADDR           Which of them this store is for.

Demonstration options:
  --seconds=S         Seconds that the clients ask; 10 at least [default: 20].  Of a soak: of faults.
  --files             Only write the files, and print the commands that start it.

Soak options:
  --machines=N        Machines, each with a gateway; three, or six of a dozen and more, have a controller
                      [default: 4].

Simulator options:
  --seed=N            Seed of the random draws [default: 1].
  --set=LIST          Constants of the code in this run, as crowseam.gateway.load_balancer:HEDGE=5,...
  --log=FILE          File for what the simulated processes log.
  --runs=N            Runs of each case [default: 3].
  --jobs=N            Runs at once; left out, one a core.
  --report=OUT        File for a report (HTML) with plots.
  --no-plots          Leave the plots out of the report.
  --keep=STORE        Keep the results in this file, and compare with those kept last.
  --lose-zone=LIST    Zones, each lost in a run of its own.
  --retire=LIST       Servers to take away, as SERVICE:COUNT,...
  --double=LIST       Tenants that ask twice as much, each in a run of its own.
  --load=LIST         Factors of the whole load, as 1.5,2.
  --day=DAY           The deployment in which the requests of the logs are played.

Model check options:
  --part=P            Part to drive: agreement, quotas, callers, handover, catchup, membership, orders, cutoff,
                      operations, both (the first two) or all [default: agreement].
  --seeds=N           How many random schedules to try [default: 200].
  --from=SEED         The first seed [default: 0].
  --steps=N           Acts of each schedule; left out, as many as the part is made for.
  --mutants           Leave one guard of the code out at a time, and say how soon a schedule finds that.
  --guards            Print each guard with the seed that finds its absence, or why none does.

Scale options:
  --gateways=N        Gateways; 96 unless said.  Of a scale run: its sizes, as 50,100,200.
  --servers=N         Servers of all services [default: 264].
  --tenants=N         Tenants with a quota [default: 88].
  --controllers=N     Controllers [default: 6].
  --heartbeat=S       Seconds between two heartbeats of a server [default: 1.3].
  --curve             Go through sizes from 14 to 1,000 gateways, and measure the code against size.
  --plot=DIR          Directory for drawings of the curves, as SVG.
  --records=DIR       Directory of the records of scale runs [default: docs/capacity].
  --page=FILE         Page to write the tables into, between its markers, in place of printing them.

Exit codes: 0 done, 1 failed or not reached, 2 bad input, 3 refused by the system.
"""
