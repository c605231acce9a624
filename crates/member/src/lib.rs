//! Instances and backend servers that are live or leaving.
