"""Scale tests of the whole system's roles (edge and control), behind docs/CAPACITY.md."""
