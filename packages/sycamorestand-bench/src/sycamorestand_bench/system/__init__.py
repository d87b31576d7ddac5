"""What tests of the whole system need: processes, gates and callers."""
