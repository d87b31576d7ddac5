"""The command line ``sycactl`` for operators."""
