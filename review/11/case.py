"""A part that crashes workers stands behind seventeen sound ones in the prompt, and is never refused."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
import deadly  # noqa: E402
import fleet  # noqa: E402

SHARED_PARTS = int(os.environ.get("SHARED_PARTS", "17"))  # Sound parts before the one that crashes workers
SHARED = ",".join(f"{0x5C1E0000 + number:x}:40" for number in range(SHARED_PARTS))


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    site = fleet.Site(FOLDER)
    try:
        return deadly.play(site, deadly.StreamWorker, trouble, 40, 0.1, SHARED,
                           lambda count: count > 30 and count % 6 == 0)
    finally:
        site.end()


if __name__ == "__main__":
    sys.exit(main())
