//! The gathering of a failure domain's summaries for a report, only where one asks.

use std::{
    rc::Rc,
    sync::{Arc, Mutex, PoisonError},
};

use actix::{Handler, Message, ResponseFuture};
use base::Stamp;
use burn::{
    Tracker,
    summary::{Domain, Failure, Summaries, Summary},
};
use futures_util::future::join_all;
use wire::Moment;

use super::Roster;
use crate::control::peers::parse;

/// Asks each instance of the failure domain for its summary, and sums those that come.
#[derive(Message)]
#[rtype(result = "Domain")]
pub(crate) struct Gather {
    /// The time of the report.
    pub(crate) at: Stamp,
    /// The own tracker.
    pub(crate) tracker: Arc<Mutex<Tracker>>,
}

/// Condenses a tracker for a report at a time.
pub(crate) fn condense(tracker: &Mutex<Tracker>, at: Stamp) -> Summary {
    tracker
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .summary(at)
}

impl Handler<Gather> for Roster {
    type Result = ResponseFuture<Domain>;

    fn handle(&mut self, message: Gather, _: &mut Self::Context) -> Self::Result {
        let Gather { at, tracker } = message;
        let view = self.core.view(self.clock.tick());
        let own = self.own.domain.clone();
        // Those not heard lately are asked too: they are named, or their summary is there after all.
        let peers = view.peers.into_iter().map(|peer| peer.instance);
        let near = peers.filter(|instance| instance.domain == own);
        let asked: Vec<_> = near
            .map(|instance| {
                let line = self.lines.to(&instance.address);
                async move { (instance.address.clone(), ask(line, at).await) }
            })
            .collect();
        Box::pin(async move {
            let mut summaries = Summaries::default();
            let mut silent = Vec::new();
            summaries.insert(condense(&tracker, at));
            for (address, answer) in join_all(asked).await {
                match answer {
                    Ok(summary) => summaries.insert(summary),
                    Err(reason) => silent.push(Failure { address, reason }),
                }
            }
            let summary = summaries.sum(own, &burn::Config::default());
            Domain { summary, silent }
        })
    }
}

async fn ask(line: Option<Rc<peer::Client>>, at: Stamp) -> Result<Summary, String> {
    let line = line.ok_or("not an address")?;
    let moment = Moment { at: at.as_millis() };
    let summary = line.condense(moment).await;
    let summary = summary.map_err(|error| error.to_string())?;
    parse(&summary.json).map_err(|error| error.to_string())
}
