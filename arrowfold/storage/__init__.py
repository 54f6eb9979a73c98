"""Durable storage: a segmented log with checksums, and snapshots."""
