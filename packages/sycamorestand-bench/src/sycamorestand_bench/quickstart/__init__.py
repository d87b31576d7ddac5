"""Run three VMs on loopback under load and faults, and check promises."""
