//! The operators' side: administration API and console.
