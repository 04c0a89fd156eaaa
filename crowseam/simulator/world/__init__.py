"""Virtual time, links and disks, and the replacements of the daemons' clocks."""
