"""Real control processes on loopback under kills, terminations and stops, with two simulated operators."""
