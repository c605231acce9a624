//! Checks of client accounts: rates, weights and tokens.

use super::{Fault, fault};
use crate::content::Bundle;

pub(super) fn check(bundle: &Bundle, found: &mut Vec<Fault>) {
    for account in &bundle.accounts {
        let path = |field: &str| format!("accounts.{}.{field}", account.name);
        if !(account.requests_per_second.is_finite() && account.requests_per_second > 0.0) {
            found.push(fault(path("requests_per_second"), "must be above 0"));
        }
        if account.burst_requests == 0 {
            found.push(fault(path("burst_requests"), "must be above 0"));
        }
        if account.weight == 0 {
            found.push(fault(path("weight"), "must be above 0"));
        }
    }
    check_tokens(bundle, found);
}

/// Checks that tokens are unique: with a shared token, one account would be charged for the other's
/// requests.
fn check_tokens(bundle: &Bundle, found: &mut Vec<Fault>) {
    let mut sorted: Vec<_> = bundle.accounts.iter().collect();
    sorted.sort_by_key(|account| account.token_digest);
    for pair in sorted.windows(2) {
        if pair[0].token_digest == pair[1].token_digest {
            found.push(fault(
                format!("accounts.{}.token_digest", pair[1].name),
                format!("is also that of account `{}`", pair[0].name),
            ));
        }
    }
}
