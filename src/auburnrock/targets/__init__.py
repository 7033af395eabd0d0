"""Clients of the nodes' targets, behind an abstract base class."""
