"""An explicit-state model of epochs and membership changes, with a bounded exhaustive model checker."""
