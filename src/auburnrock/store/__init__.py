"""Clients of the platform's key-value service, behind an abstract base."""
