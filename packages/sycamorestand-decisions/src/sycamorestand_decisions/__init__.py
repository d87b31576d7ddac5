"""Decision functions for load; state and time are explicit arguments."""
