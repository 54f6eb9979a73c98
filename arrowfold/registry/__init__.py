"""Registry of the known workers: records by origin, version vectors, heartbeat timeouts."""
