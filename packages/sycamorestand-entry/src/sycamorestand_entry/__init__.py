"""The entry process: HTTP server, dispatch, relay and announcements."""
