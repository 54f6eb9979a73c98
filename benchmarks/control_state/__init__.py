"""Random fault schedules against the replicated control state, in virtual time."""
