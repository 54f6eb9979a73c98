"""Quotas: what organisations and teams may use, over sliding windows, nested, with borrowing. No I/O."""
