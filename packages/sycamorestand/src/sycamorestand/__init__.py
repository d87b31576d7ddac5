"""The two binaries: settings, logging and wiring."""
