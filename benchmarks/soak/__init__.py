"""Soak tests of the whole system as real processes, with keep-alive connections and overlapping faults."""
