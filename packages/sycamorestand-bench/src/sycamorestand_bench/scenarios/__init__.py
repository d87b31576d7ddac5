"""One module for each name that dev/bench takes."""
