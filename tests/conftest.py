"""What holds for all tests: examples are counted, not timed."""

from __future__ import annotations

from hypothesis import HealthCheck, settings

# A busy machine draws and runs examples slowly; neither may fail a test. How many are run stays as it is.
settings.register_profile("counted", deadline=None, suppress_health_check=[HealthCheck.too_slow])
settings.load_profile("counted")
