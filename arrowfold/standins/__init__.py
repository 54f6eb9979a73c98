"""Stand-ins of the project's own: what a node talks to, and the node as a process."""
