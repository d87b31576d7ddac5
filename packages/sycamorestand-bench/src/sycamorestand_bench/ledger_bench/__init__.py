"""Measure the ledger on three voters that are real processes."""
