"""The commands of the operators' tool; docs/operators/auburnctl.md."""
