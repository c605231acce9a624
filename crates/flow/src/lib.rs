//! A request on its way through the stages of its pipeline.
