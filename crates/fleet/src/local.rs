//! A fleet of one daemon over runners that load on demand; the demo starts with it.
