"""Model placement: decides which models and adapters are loaded on which workers of a service.

The package does no I/O: time is passed in, and the caller (controlplane) sends orders and reads reports. One
`ServicePlacer` serves one service, on the control node that owns the role `placement/SERVICE`.
"""
