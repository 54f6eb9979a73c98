"""arrowfold: a token market that decides which worker a dispatcher sends each job to."""

from arrowfold.choice import Dispatcher
from arrowfold.interface import Settings

__all__ = ["Dispatcher", "Settings"]
__version__ = "0.1.0"
