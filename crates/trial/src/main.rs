//! `trial` compares decisions with plain baselines on seeded traces in virtual time.

use argh::FromArgs;
use trial::{
    Policy, Size, Tally, Trace,
    bound::{self, Knowledge},
    trace::Kind,
};

/// compare decisions with plain baselines on seeded traces
#[derive(FromArgs)]
struct Args {
    /// the size: adinkra, compas or scaled (default: every one)
    #[argh(option)]
    size: Option<String>,
    /// the trace, such as burst (default: every one)
    #[argh(option)]
    trace: Option<String>,
    /// the policy, such as ours (default: every one)
    #[argh(option)]
    policy: Option<String>,
    /// the seed (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// the length of the trace in seconds (default: 40)
    #[argh(option, default = "40.0")]
    seconds: f64,
    /// print the main pool and the gates at each second
    #[argh(switch)]
    samples: bool,
    /// print one JSON object a line
    #[argh(switch)]
    json: bool,
}

fn main() {
    let args: Args = argh::from_env();
    for size in Size::all() {
        if !is_selected(args.size.as_deref(), size.name) {
            continue;
        }
        for kind in Kind::ALL {
            if is_selected(args.trace.as_deref(), kind.as_str()) {
                compare(&args, &size, *kind);
            }
        }
    }
}

fn is_selected(selected: Option<&str>, name: &str) -> bool {
    selected.is_none_or(|selected| selected == name)
}

fn compare(args: &Args, size: &Size, kind: Kind) {
    let trace = Trace::new(size, kind, args.seed, args.seconds);
    let bound = bound::attainment(size, &trace, Knowledge::Exact);
    let unsized_bound = bound::attainment(size, &trace, Knowledge::Mean);
    if !args.json {
        println!(
            "{} {} seed {} requests {} bound {bound:.4} without-sizes {unsized_bound:.4}",
            size.name,
            kind.as_str(),
            args.seed,
            trace.requests.len()
        );
    }
    for policy in Policy::all() {
        if !is_selected(args.policy.as_deref(), policy.name) {
            continue;
        }
        let tally = trial::run(size, &trace, policy, args.seed);
        print(args, &tally, bound);
    }
}

fn print(args: &Args, tally: &Tally, bound: f64) {
    if args.json {
        let text = serde_json::to_string(tally).unwrap_or_default();
        println!("{text}");
        return;
    }
    println!(
        "  {:18} attainment {:.4} of-bound {:.3} cost {:.3} wasted {:6.0} least {:.3} fair {:.3} \
         before {:.3} during {:.3} after {:.3} recovery {:5.2} attempts {:.2} crashes {} hits {:.2} took {:.2?} \
         messages {} refusals {:?}",
        tally.policy,
        tally.attainment(),
        tally.attainment() / bound,
        tally.cost(),
        tally.wasted,
        tally.least,
        tally.fairness,
        tally.before,
        tally.during,
        tally.after,
        tally.recovery,
        tally.attempts,
        tally.crashes,
        tally.hits,
        tally.took,
        tally.messages,
        tally.refusals,
    );
    if args.samples {
        for one in &tally.samples {
            println!(
                "    {:3} s busy {:.3} queued {:4} waiting {:5}",
                one.at, one.busy, one.queued, one.waiting
            );
        }
    }
}
