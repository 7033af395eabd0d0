"""The targets beside the nodes, behind an abstract base class."""
