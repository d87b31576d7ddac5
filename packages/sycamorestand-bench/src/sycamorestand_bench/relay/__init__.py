"""Provide the processes of the scenario that measures the relay."""
