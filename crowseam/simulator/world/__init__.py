"""Virtual time, network and disks, and replacements for the clocks that the daemons read."""
