"""Mirror the platform's objects into the state of an instance."""
