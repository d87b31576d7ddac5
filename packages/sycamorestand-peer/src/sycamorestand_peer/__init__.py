"""Messages between processes: links, heartbeats, authentication."""
