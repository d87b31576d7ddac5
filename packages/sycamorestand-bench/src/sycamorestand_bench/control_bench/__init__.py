"""Measures what control costs and how fast a change is in force."""
