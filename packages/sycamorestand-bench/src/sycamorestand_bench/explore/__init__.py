"""Explorer that runs the consensus core under seeded random faults."""
