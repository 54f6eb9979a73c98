"""The programs of the system, thin: each assembles the library of its plane."""
