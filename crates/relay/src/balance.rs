//! Balances chains of stages over failure domains.

use base::Name;

/// Returns a domain for a random number from 0 to 1, weighted by the domain's smallest share of any stage's servers.
///
/// Each stage is given by the domains of its servers, one entry per server. A chain of stages is as fast as its
/// slowest stage, so a domain with few servers of one stage gets less work for all stages.
///
/// # Examples
///
/// ```
/// let (a, b) = ("a".into(), "b".into());
/// let stages = [vec![&a, &a, &b, &b], vec![&a, &a, &a, &b]];
/// // The weights of the domains are 0.5 and 0.25, so they get two thirds and one third of the work.
/// assert_eq!(relay::balance::choose_domain(&stages, 0.66), Some(&a));
/// assert_eq!(relay::balance::choose_domain(&stages, 0.67), Some(&b));
/// ```
pub fn choose_domain<'a>(stages: &[Vec<&'a Name>], draw: f64) -> Option<&'a Name> {
    choose_by_spare(stages, |_| 1.0, draw)
}

/// Returns a domain as [`choose_domain`] does, with the weight of each domain multiplied by its spare part from 0 to 1.
///
/// # Examples
///
/// ```
/// let (a, b) = ("a".into(), "b".into());
/// let stages = [vec![&a, &b]];
/// let spare = |domain: &base::Name| if *domain == a { 0.1 } else { 0.3 };
/// assert_eq!(relay::balance::choose_by_spare(&stages, spare, 0.24), Some(&a));
/// assert_eq!(relay::balance::choose_by_spare(&stages, spare, 0.26), Some(&b));
/// ```
pub fn choose_by_spare<'a>(
    stages: &[Vec<&'a Name>],
    spare: impl Fn(&Name) -> f64,
    draw: f64,
) -> Option<&'a Name> {
    let mut domains: Vec<&Name> = stages.iter().flatten().copied().collect();
    domains.sort();
    domains.dedup();
    let share = |domain: &Name| {
        let shares = stages.iter().map(|servers| {
            let count = servers.iter().filter(|server| **server == domain).count();
            count as f64 / servers.len().max(1) as f64
        });
        shares.fold(1.0, f64::min)
    };
    let shares: Vec<_> = domains
        .iter()
        .map(|domain| match share(domain) {
            0.0 => 0.0,
            share => share * spare(domain),
        })
        .collect();
    let mut remaining = draw * shares.iter().sum::<f64>();
    for (domain, share) in domains.iter().zip(&shares) {
        remaining -= share;
        if remaining < 0.0 {
            return Some(domain);
        }
    }
    domains
        .into_iter()
        .zip(shares)
        .rfind(|(_, share)| *share > 0.0)
        .map(|(domain, _)| domain)
}
