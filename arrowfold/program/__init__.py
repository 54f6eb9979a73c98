"""The node's process: configuration, assembly, signals, succession, log, trace and command line."""
