"""Measure the cost of control and the time until changes are in force."""
