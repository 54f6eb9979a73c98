"""Paired plays of two texts over the same sites, days and seeds, and what their differences tell."""
