"""Scale tests behind docs/CAPACITY.md: `python -m benchmarks.capacity`."""
