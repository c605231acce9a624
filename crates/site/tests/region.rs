//! The failure domains that requests may reach, in a deployment of two regions.

use base::Name;
use googletest::prelude::*;
use site::region::Regions;

fn names(names: &[&str]) -> Vec<Name> {
    names.iter().map(|name| (*name).into()).collect()
}

fn regions(own_domain: &str, own: Option<&str>) -> Regions {
    let domains = [
        ("a", "north"),
        ("b", "north"),
        ("c", "south"),
        ("d", "south"),
    ];
    let domains = domains.map(|(domain, region)| (domain.into(), region.into()));
    Regions::new(own_domain.into(), own.map(Into::into), domains.into())
}

/// Returns the domains whose servers, and whose instances, a request may reach.
fn reach(regions: &Regions, route: &[&str], account: &[&str]) -> Option<[String; 2]> {
    let reach = regions.reach(&[&names(route), &names(account)])?;
    let all = names(&["a", "b", "c", "d", "e"]);
    let join = |is_allowed: &dyn Fn(&Name) -> bool| {
        let allowed = all.iter().filter(|domain| is_allowed(domain));
        allowed.map(Name::as_str).collect::<String>()
    };
    Some([
        join(&|domain| reach.allows_server(domain)),
        join(&|domain| reach.allows_instance(domain)),
    ])
}

/// Guards against a request that leaves the regions which its route or its account allow.
#[gtest]
fn both_lists_apply_and_an_empty_one_restricts_nothing() {
    let local = regions("a", None);
    let expect = |servers: &str, instances: &str| Some([servers.to_owned(), instances.to_owned()]);
    expect_that!(reach(&local, &[], &[]), none());
    expect_that!(reach(&local, &["north"], &[]), eq(&expect("ab", "ab")));
    // The instance that the caller selected, and those of its region, may have the body.
    expect_that!(reach(&local, &["south"], &[]), eq(&expect("cd", "abcd")));
    expect_that!(reach(&local, &[], &["south"]), eq(&expect("cd", "abcd")));
    let both = ["north", "south"];
    expect_that!(reach(&local, &both, &["south"]), eq(&expect("cd", "abcd")));
    expect_that!(reach(&local, &["north"], &["south"]), eq(&expect("", "ab")));
    expect_that!(reach(&local, &["unknown"], &[]), eq(&expect("", "ab")));
}

#[gtest]
fn a_domain_of_an_unknown_region_is_out_of_reach_unless_it_is_the_local_one() {
    let expect = |servers: &str, instances: &str| Some([servers.to_owned(), instances.to_owned()]);
    let stated = regions("e", Some("south"));
    expect_that!(reach(&stated, &["south"], &[]), eq(&expect("cde", "cde")));
    let unknown = regions("e", None);
    expect_that!(reach(&unknown, &["south"], &[]), eq(&expect("cd", "cd")));
}
