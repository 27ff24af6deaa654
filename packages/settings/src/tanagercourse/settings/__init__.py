"""Steering settings: their schema, paths and checks."""
