"""The operator's configuration: the document, its validity, changes to it, and the route table. No I/O.

Import the modules, not this package: an edge needs `routes`, `patches` and `json_text` and must not
load pydantic for them.
"""
