"""Connection of an entry to its control process."""
