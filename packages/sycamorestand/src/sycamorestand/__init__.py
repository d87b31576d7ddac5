"""The binaries ``sycamorestand`` and ``sycactl``, settings and logging."""
