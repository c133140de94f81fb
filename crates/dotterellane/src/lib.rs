//! Serving system for rarely used models that many teams share.
