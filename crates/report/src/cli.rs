//! The command line.

use argh::FromArgs;

use crate::configs::Format;

/// Reports attainment, burn and cost as the entry instances count them. Every flag is also a
/// variable `LIMPETSTEP_FLAG`. Exit codes: 0, 1 an alarm is raised, 2 usage, 3 no answer.
#[derive(Clone, Debug, FromArgs)]
pub struct Args {
    /// addresses of entry instances, separated by commas
    #[argh(option)]
    pub entries: Option<String>,

    /// read the sums of failure domains, from one instance of each
    #[argh(switch)]
    pub domains: bool,

    /// html, json or text
    #[argh(option)]
    pub format: Option<Format>,

    /// time limit for one instance, in milliseconds
    #[argh(option)]
    pub timeout_ms: Option<u64>,
}
