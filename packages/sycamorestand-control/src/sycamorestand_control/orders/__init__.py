"""Plan, send and record the leader's load and unload orders to engines."""
