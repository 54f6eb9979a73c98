"""Repeat recognition: one run for all tries of a request, within a bound of memory."""
