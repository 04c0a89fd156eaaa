"""The soak: a fleet of real processes on loopback, with faults and changes that overlap, judged by its history."""
