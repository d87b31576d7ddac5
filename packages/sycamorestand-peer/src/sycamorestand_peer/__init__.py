"""Messages between processes: links, heartbeats and authentication."""
