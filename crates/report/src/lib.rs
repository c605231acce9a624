//! Report on service-level burn.
