"""The way from an entry to its control process."""
