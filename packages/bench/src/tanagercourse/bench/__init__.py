"""Measures of the product against naive or earlier versions."""
