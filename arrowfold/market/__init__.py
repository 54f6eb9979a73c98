"""The token market: tokens of classes, their prices and their trades. Shared by all programs; no I/O.

It follows Chen's thesis (see docs/design.md). Symbols such as C_i, and the equations and chapters cited in
this package and in its programs, are those of the thesis.
"""
