"""One edge node put together: its file, its parts, its phases and reloads."""
