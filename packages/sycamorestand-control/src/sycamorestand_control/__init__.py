"""The control process: voter, hub for entries, operator interface."""
