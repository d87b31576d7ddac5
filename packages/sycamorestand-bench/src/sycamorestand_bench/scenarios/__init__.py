"""One module for each scenario name that ``dev/bench`` accepts."""
