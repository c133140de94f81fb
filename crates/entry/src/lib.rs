//! The callers' side: HTTP, keys, admission, relay.
