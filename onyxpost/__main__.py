"""`python -m onyxpost`."""

import sys

from onyxpost.cli import main

if __name__ == "__main__":
    sys.exit(main())
