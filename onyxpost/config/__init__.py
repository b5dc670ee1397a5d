"""Settings that several packages share, decoded and validated once."""
