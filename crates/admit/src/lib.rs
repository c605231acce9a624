//! Deadlines, priorities, fairness and limits.
