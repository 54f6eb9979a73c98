"""The internal protocol: typed messages between nodes, and the channel that carries them."""
