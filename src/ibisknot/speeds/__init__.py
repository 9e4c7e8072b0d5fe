"""Places work by how fast each endpoint is, also when one becomes slow."""
