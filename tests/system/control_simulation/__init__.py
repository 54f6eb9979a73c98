"""The control plane's own code in one process: virtual time, failing network, disks and machines."""
