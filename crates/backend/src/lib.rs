//! HTTP towards backend servers.
