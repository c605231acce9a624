//! Decisions compared with plain baselines on seeded traces in virtual time.
