"""Which backend servers a node works with: of a large list a part, the same for some nodes. No I/O."""
