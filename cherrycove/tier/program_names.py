"""Names of the tier's programs in announcements, settings, data directories and internal addresses.

They are stored on disk and exchanged between different releases, so they must not change, even where the code
uses another name: the program "keeper" is called controller everywhere else.
"""

from __future__ import annotations

from typing import Final

CONTROLLER_PROGRAM: Final = "keeper"
STORE_PROGRAM: Final = "store"
PROXY_PROGRAM: Final = "proxy"
