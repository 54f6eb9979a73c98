"""Primary-backup replication of the control state under epochs that witnesses decide; see docs/control-state.md."""
