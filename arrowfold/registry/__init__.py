"""The workers known to the system: records by origin, version vectors, silence."""
