"""Primary-backup replication of the control state under epochs that witnesses decide.

See docs/control-state.md.
"""
