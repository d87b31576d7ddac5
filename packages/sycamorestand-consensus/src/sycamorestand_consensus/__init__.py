"""The replicated log: agreement core, segments and snapshots."""
