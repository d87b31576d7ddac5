"""Small fakes of what an entry meets, for tests and bench scenarios."""
