"""Hypothesis settings for all tests: examples have no time limit."""

from __future__ import annotations

from hypothesis import HealthCheck, settings

# Slow generation or execution of examples on a busy machine must not fail a test. Their number is unchanged.
settings.register_profile("counted", deadline=None, suppress_health_check=[HealthCheck.too_slow])
settings.load_profile("counted")
