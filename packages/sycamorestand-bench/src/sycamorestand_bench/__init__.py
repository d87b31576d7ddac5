"""Provide fakes, load generators, bench scenarios and reports."""
