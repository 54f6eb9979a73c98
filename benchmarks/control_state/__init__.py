"""Random schedules of faults against the control state, in virtual time."""
