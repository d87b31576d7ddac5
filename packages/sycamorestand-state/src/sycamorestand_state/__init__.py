"""State machines on the log: configuration, ledger, membership."""
