"""Fakes, load tool, bench scenarios and reports."""
