"""The failures of a bad version have no length and end with their connection."""

import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import rollout
from sim import main

BAD_SHARE = 0.6


async def play(sim):
    fails = lambda: sim.trouble and random.random() < BAD_SHARE
    version = rollout.Version(fails, rollout.until_close(500))
    return await rollout.play(sim, version, ["desk-app"], rate=100, duration=30)


if __name__ == "__main__":
    main(os.path.dirname(os.path.abspath(__file__)), play, instances=3)
