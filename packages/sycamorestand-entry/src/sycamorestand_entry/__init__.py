"""The entry process: callers, relay, dispatch, announcements."""
