"""Simulations on a virtual clock that compare the decisions with baselines."""
