//! Comes next.
