"""Sums trace records up: where answers in time were lost, when, and at which step."""
