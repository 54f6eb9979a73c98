"""The data plane: an edge node's HTTP front, its forwarding to workers and its view of the fleet."""
