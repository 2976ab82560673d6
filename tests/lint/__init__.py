"""Tests of scripts/lint and of its list of exceptions."""
