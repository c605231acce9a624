//! Checks of the limits that hold for every pipeline.

use super::{Fault, fault};
use crate::content::Bundle;

/// The maximum share of retries, in percent of first attempts.
const MAX_RETRY_PERCENT: u32 = 100;

pub(super) fn check(bundle: &Bundle, found: &mut Vec<Fault>) {
    let limits = &bundle.limits;
    if limits.body_bytes == 0 {
        found.push(fault("limits.body_bytes".into(), "must be above 0"));
    }
    if limits.queue_requests == 0 {
        found.push(fault("limits.queue_requests".into(), "must be above 0"));
    }
    if limits.retry_percent > MAX_RETRY_PERCENT {
        found.push(fault("limits.retry_percent".into(), "must be at most 100"));
    }
    if bundle.version == 0 {
        found.push(fault("version".into(), "must be above 0"));
    }
}
