"""Keep what an instance knows in step with the platform's objects."""
