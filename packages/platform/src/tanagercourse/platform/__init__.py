"""Interface to the platform's object API."""
