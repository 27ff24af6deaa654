"""Port to the platform's object API."""
