"""Ids, states, problems and work shared by every package."""
