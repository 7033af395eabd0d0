"""Benchmarks: commands that print measurements."""
