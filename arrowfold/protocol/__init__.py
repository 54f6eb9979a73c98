"""The wires: what clients, backend servers and discovery speak."""
