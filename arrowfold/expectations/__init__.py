"""Routing expectations: claims about routing, evaluated over simulated worlds and over traces. No I/O."""
