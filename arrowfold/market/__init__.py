"""The token market: classes' tokens, their prices and their trades; one code for every program. No I/O."""
