//! Operators' command line: check, sign, publish, sign off, roll out.
