"""Replicated log: Raft core, log segments and snapshots."""
