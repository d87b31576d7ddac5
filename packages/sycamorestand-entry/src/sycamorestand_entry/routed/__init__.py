"""Requests that a route leads to a service, forwarded unchanged."""
