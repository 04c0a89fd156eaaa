"""Virtual time, links, disks, and what stands in for the clocks of the daemons."""
