//! One entry instance: every core and edge in one process.
