"""Decides how many workers a service should have in a zone, from counts, load and bounds, without I/O."""
