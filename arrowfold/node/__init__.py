"""Shared by all processes of the system: settings, log, trace records, signals and result codes."""
