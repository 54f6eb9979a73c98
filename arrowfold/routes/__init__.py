"""Routes: an ordered table of rules that restrict where a job may go. No I/O, independent of any protocol."""
