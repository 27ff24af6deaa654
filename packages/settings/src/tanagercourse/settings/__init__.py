"""Steering settings: schema, object paths, encoding and validation."""
