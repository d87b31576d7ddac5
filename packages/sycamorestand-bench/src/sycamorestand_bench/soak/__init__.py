"""Run real processes under random faults and check promises."""
