"""Replay of recorded traces through the decisions of the engine."""
