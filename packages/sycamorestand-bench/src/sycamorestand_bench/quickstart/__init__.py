"""Three VMs on loopback, mixed requests, faults, every promise checked."""
