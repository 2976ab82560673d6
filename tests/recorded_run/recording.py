"""Reads and writes the recorded reply bytes of a scenario, kept as compressed files."""

import gzip
import os

HERE = os.path.dirname(os.path.abspath(__file__))


def path_of(scenario):
    return os.path.join(HERE, "kept", scenario.name + ".bin.gz")


def read_recording(scenario):
    with gzip.open(path_of(scenario)) as file:
        return file.read()


def write_recording(scenario, replies):
    os.makedirs(os.path.dirname(path_of(scenario)), exist_ok=True)
    with open(path_of(scenario), "wb") as file:
        file.write(gzip.compress(replies, 9, mtime=0))
