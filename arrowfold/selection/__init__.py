"""Which worker a request goes to at an edge: the token market over the workers that hold its model."""
