"""The operator's configuration: document models, validation, changes, deltas and the route table.

Nothing here performs I/O. Import the modules, not this package: an edge node uses `routes`, `patches` and
`json_text`, and must not load pydantic for them.
"""
