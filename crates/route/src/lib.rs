//! Choice of a backend server.
