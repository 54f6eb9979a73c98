"""Model placement: which model and adapter is loaded on which worker of a service.

Pure decisions: time is passed in, and orders and reports go through the caller (controlplane). One
`ServicePlacer` works for one service on the node that owns the role `placement/SERVICE`.
"""
