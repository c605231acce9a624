//! Calls that may not be repeated, arbitrated by the platform's log.
