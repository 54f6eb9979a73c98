"""Primary-backup replication of the control state; witnesses store only epochs and decide failover.

See docs/control-state.md.
"""
