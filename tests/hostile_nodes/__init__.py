"""A scheduler process beside disk servers whose answers never end, or are large and come at once."""
