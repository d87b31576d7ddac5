"""Declarations as typed data, their check and their difference."""
