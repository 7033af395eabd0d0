"""Which server owns which shards, and the moves that carry it out."""
