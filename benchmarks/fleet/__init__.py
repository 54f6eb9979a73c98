"""A fleet in virtual time: real decision modules that share nothing, among modelled servers."""
