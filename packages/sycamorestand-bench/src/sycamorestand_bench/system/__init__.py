"""Provide processes, fault proxies and callers to system tests."""
