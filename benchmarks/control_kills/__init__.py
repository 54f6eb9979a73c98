"""Real control processes on loopback under kills, planned ends and stops, with two stand-in operators."""
