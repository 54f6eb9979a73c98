"""The internal protocol: typed messages between nodes, their encoding, and the channel that carries them."""
