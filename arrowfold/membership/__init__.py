"""Selects the subset of a large worker list that a node works with. No I/O."""
