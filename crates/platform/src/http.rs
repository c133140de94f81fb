//! The platform's services over HTTP.
