"""Takes guards out of the control side one at a time, and tells which tests notice."""
