"""Simulation of the control plane in one process: real code on virtual time, network, disks and nodes."""
