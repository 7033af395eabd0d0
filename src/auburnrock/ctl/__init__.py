"""The commands of auburnctl, described in docs/operators/auburnctl.md."""
