"""What every process of the system needs: its settings, its log and its numbered result codes."""
