"""The lowest layer: the epoll loop, timers, streams and connection pools. Independent of any protocol."""
