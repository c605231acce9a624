//! Attainment, cost and error-budget burn.
