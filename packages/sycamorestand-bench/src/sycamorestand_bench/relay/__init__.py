"""Parts of the scenario that measures what the relay costs."""
