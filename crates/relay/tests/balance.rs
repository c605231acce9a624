//! Failure domains have different numbers of servers of a stage.

use base::Name;
use googletest::prelude::*;
use relay::balance::choose_domain;

fn counts(stages: &[Vec<&Name>], domains: &[Name]) -> Vec<usize> {
    let chosen: Vec<_> = (0..1_000)
        .filter_map(|at| choose_domain(stages, f64::from(at) / 1_000.0))
        .collect();
    let count = |domain| chosen.iter().filter(|chosen| **chosen == domain).count();
    domains.iter().map(count).collect()
}

#[gtest]
fn a_domain_gets_work_by_its_smallest_share_of_servers() {
    let domains = ["a", "b", "c", "d"].map(Name::from);
    let servers = |counts: [usize; 4]| {
        let domains = domains.iter().zip(counts);
        domains
            .flat_map(|(domain, count)| vec![domain; count])
            .collect::<Vec<_>>()
    };
    // The three stage pools of the enlarged compas site.
    let stages = [
        servers([5, 4, 4, 4]),
        servers([4, 4, 4, 3]),
        servers([6, 6, 6, 6]),
    ];
    let counts = counts(&stages, &domains);
    // The smallest shares are 6 of 24, 4 of 17 for two domains, and 3 of 15.
    let total = 6.0 / 24.0 + 2.0 * 4.0 / 17.0 + 3.0 / 15.0;
    for (count, share) in counts
        .iter()
        .zip([6.0 / 24.0, 4.0 / 17.0, 4.0 / 17.0, 3.0 / 15.0])
    {
        let expected = 1_000.0 * share / total;
        expect_that!(*count as f64, near(expected, 1.0));
    }
}

#[gtest]
fn a_domain_without_servers_of_a_stage_gets_no_work() {
    let domains = ["a", "b"].map(Name::from);
    let stages = [vec![&domains[0], &domains[1]], vec![&domains[0]]];
    expect_that!(counts(&stages, &domains), eq(&vec![1_000, 0]));
    expect_that!(choose_domain(&stages, 1.0), some(eq(&domains[0])));
    expect_that!(choose_domain(&[], 0.5), none());
}
