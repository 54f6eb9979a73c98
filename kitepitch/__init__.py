"""kitepitch: a token market that decides which worker a dispatcher sends each job to."""

from kitepitch.choice import Dispatcher
from kitepitch.interface import Settings

__all__ = ["Dispatcher", "Settings"]
__version__ = "0.1.0"
