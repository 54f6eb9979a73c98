"""Entry points of the system's programs; each one assembles the libraries of its plane."""
