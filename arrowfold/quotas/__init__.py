"""Quotas of organisations and teams: nested levels, sliding windows, borrowing among siblings. No I/O."""
