"""Decides which server owns which shards, and which shards move."""
