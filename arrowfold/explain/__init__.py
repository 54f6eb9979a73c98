"""Summarizes trace records: which requests missed their latency objective, when, and at which step."""
