"""Tasks of a node that runs beside a target and shares a store."""
