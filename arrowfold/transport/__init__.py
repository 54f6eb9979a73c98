"""The lowest layer: the epoll loop, timers, streams and connection pools. Knows no protocol."""
