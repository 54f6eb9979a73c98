"""Paired benchmark runs of program versions, and the statistics of their differences.

A text is a version of the programs: a revision or the working tree, with an optional policy file. A play is
one run of the bench with a text on a scenario, which is a site, a day and a seed.
"""
