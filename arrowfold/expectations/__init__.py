"""Expectations of routing: what is promised, judged over worlds and over traffic. No I/O."""
