"""Durable storage: a log in segments with checksums, and snapshots beside them."""
