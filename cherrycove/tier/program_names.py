"""Names of the tier's programs in announcements, settings, data directories and internal addresses.

They are stored on disk and sent between releases, so they stay as they are even where the code uses another
word: the control-plane server is called controller everywhere else.
"""

from __future__ import annotations

from typing import Final

CONTROLLER_PROGRAM: Final = "keeper"
STORE_PROGRAM: Final = "store"
PROXY_PROGRAM: Final = "proxy"
