"""Routes: an ordered table of rules that says where a job may go. Does no I/O, and knows no wire."""
