"""Network protocols of clients, workers, operators and the discovery service."""
