//! Stand-ins of the platform, runners and services for tests, demo and bench.
