"""The leader's orders to engines: what to load, when, and sending it."""
