"""The program: configuration, wiring, signals, counters and the log."""
