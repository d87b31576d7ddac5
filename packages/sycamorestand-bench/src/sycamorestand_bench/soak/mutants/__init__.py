"""Safeguards that a soak takes out to see whether it notices."""
