"""Identifiers, states, problems and requests shared by every package."""
