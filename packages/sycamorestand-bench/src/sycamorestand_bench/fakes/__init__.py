"""Provide fakes of the peers of an entry, for tests and scenarios."""
