"""The project's own stand-ins for what a node communicates with, and nodes run as local processes."""
