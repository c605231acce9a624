//! Which failure domain works on a row of stages.

use base::Name;

/// Returns a domain for a draw from 0 to 1, by the least share of any stage's servers that it has.
///
/// Each stage is given by the domains of its servers, one entry a server. A row of stages is as fast as the
/// stage that is slowest, so a domain that lacks servers of one stage gets less work for all of them.
///
/// # Examples
///
/// ```
/// let (a, b) = ("a".into(), "b".into());
/// let stages = [vec![&a, &a, &b, &b], vec![&a, &a, &a, &b]];
/// // The domains get 0.5 and 0.25 of the work, two thirds and one third of it.
/// assert_eq!(relay::balance::choose_domain(&stages, 0.66), Some(&a));
/// assert_eq!(relay::balance::choose_domain(&stages, 0.67), Some(&b));
/// ```
pub fn choose_domain<'a>(stages: &[Vec<&'a Name>], draw: f64) -> Option<&'a Name> {
    let mut domains: Vec<&Name> = stages.iter().flatten().copied().collect();
    domains.sort();
    domains.dedup();
    let share = |domain: &Name| {
        let shares = stages.iter().map(|servers| {
            let own = servers.iter().filter(|one| **one == domain).count();
            own as f64 / servers.len().max(1) as f64
        });
        shares.fold(1.0, f64::min)
    };
    let shares: Vec<_> = domains.iter().map(|domain| share(domain)).collect();
    let mut left = draw * shares.iter().sum::<f64>();
    for (domain, share) in domains.iter().zip(&shares) {
        left -= share;
        if left < 0.0 {
            return Some(domain);
        }
    }
    domains
        .into_iter()
        .zip(shares)
        .rfind(|(_, share)| *share > 0.0)
        .map(|(domain, _)| domain)
}
