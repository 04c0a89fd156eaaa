"""Model checks: seeded random schedules of faults over the real code, and mutants that each check must detect."""
