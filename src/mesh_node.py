"""Starts the platform's node from a checkout."""

from auburnrock.programs import mesh_node

if __name__ == "__main__":
    mesh_node.run()
