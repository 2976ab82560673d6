"""Tests of the setup's lists of packages and of the check of the deploy build."""
