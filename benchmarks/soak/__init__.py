"""A soak of the whole system as real processes: kept connections, and faults in series that overlap."""
