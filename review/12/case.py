"""A part crashes each worker that begins to write an answer on it, as it writes the third event."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
import deadly  # noqa: E402
import fleet  # noqa: E402

SHARED = "5c1e07a2:40,91bd3f06:40"


class Worker(deadly.StreamWorker):
    events_before_crash = 2


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    site = fleet.Site(FOLDER)
    try:
        return deadly.play(site, Worker, trouble, 40, 0.1, SHARED, lambda count: count > 30 and count % 6 == 0)
    finally:
        site.end()


if __name__ == "__main__":
    sys.exit(main())
