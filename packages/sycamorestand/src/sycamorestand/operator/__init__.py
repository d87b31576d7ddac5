"""``sycactl``, the operators' command line."""
