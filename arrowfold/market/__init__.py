"""The token market: tokens of classes, their prices and their trades. Shared by all programs; no I/O."""
