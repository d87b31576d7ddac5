"""Decisions under load: pure functions over explicit state and time."""
