"""The control plane of one control node: HTTP interface, internal interface, and their assembly."""
