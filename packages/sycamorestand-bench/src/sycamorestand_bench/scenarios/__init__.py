"""The scenarios of ``dev/bench``; each module is one by its name."""
