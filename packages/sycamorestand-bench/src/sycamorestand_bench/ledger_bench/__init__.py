"""Measures the ledger on three real voters."""
