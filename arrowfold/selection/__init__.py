"""Selects the worker for each request of an edge: a token market over the workers that hold its model."""
