"""Idempotency keys: requests with the same key are run once, within a limit of memory."""
