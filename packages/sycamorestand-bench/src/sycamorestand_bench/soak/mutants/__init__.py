"""Disable safeguards, to test whether a soak finds the faults."""
