"""Model checks: seeded schedules of faults over the real code, and mutants that each check has to find."""
