"""The command line that operators and service teams use."""
