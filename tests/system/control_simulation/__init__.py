"""The control plane's own code in one process: virtual time, a network and disks that fail, machines that stop."""
