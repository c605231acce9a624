//! Rendezvous hashing is the same in all builds.

use googletest::prelude::*;
use mesh::rendezvous::hash;

/// Instances of two builds selected different ones for the same task, so that origins were looked for in the wrong places and
/// limits granted twice.
#[gtest]
fn weights_are_those_of_the_builds_before() {
    for (task, candidate, weight) in [
        ("", "", 7_541_581_120_933_061_747),
        ("origins", "front-a-1", 11_846_573_021_570_351_253),
        (
            "limpet-pool",
            "front-gt-central-a-2",
            2_904_465_366_664_383_467,
        ),
        (
            "9c41d07be2a35f68",
            "front-b-1",
            7_202_991_348_762_167_990_u64,
        ),
    ] {
        let found = hash(&task.into(), &candidate.into());
        expect_that!(found, eq(weight), "{task:?}, {candidate:?}");
    }
}
