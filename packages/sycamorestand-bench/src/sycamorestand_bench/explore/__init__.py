"""Plays random faults against the agreement core, the same by seed."""
