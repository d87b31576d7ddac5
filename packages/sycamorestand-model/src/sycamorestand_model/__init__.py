"""Typed declarations, their readers and checks, and plans of changes."""
