"""The control plane of one core machine: HTTP interface, internal interface, and their wiring."""
