"""A scheduler process beside clients that send too much, too slowly or never whole requests."""
