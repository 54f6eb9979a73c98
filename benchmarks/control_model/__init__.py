"""An explicit-state model of epochs and membership, and a checker that visits every state within bounds."""
