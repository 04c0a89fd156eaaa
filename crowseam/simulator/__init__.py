"""The simulator: clients, servers, disks, links and clocks on a virtual clock, round the daemons' own code."""
