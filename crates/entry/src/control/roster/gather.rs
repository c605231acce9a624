//! Collects the summaries of a failure domain for a report, on request.

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

/// Requests the summary of each instance of the failure domain, and sums those received.
#[derive(Message)]
#[rtype(result = "Domain")]
pub(crate) struct Gather {
    /// The time of the report.
    pub(crate) at: Stamp,
    /// The tracker of this instance.
    pub(crate) tracker: Arc<Mutex<Tracker>>,
}

/// Returns the summary of a tracker for a report at a time.
pub(crate) fn summarize(tracker: &Mutex<Tracker>, at: Stamp) -> Summary {
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
        // Unreachable peers are queried too: each either answers after all or is listed as a failure.
        let peers = view.peers.into_iter().map(|peer| peer.instance);
        let in_domain = peers.filter(|instance| instance.domain == own);
        let requests: Vec<_> = in_domain
            .map(|instance| {
                let connection = self.connections.get_or_open(&instance.address);
                async move {
                    (
                        instance.address.clone(),
                        request_summary(connection, at).await,
                    )
                }
            })
            .collect();
        Box::pin(async move {
            let mut summaries = Summaries::default();
            let mut failures = Vec::new();
            summaries.insert(summarize(&tracker, at));
            for (address, answer) in join_all(requests).await {
                match answer {
                    Ok(summary) => summaries.insert(summary),
                    Err(reason) => failures.push(Failure { address, reason }),
                }
            }
            let summary = summaries.sum(own, &burn::Config::default());
            Domain {
                summary,
                silent: failures,
            }
        })
    }
}

async fn request_summary(
    connection: Option<Rc<peer::Client>>,
    at: Stamp,
) -> Result<Summary, String> {
    let connection = connection.ok_or("not an address")?;
    let moment = Moment { at: at.as_millis() };
    let summary = connection.condense(moment).await;
    let summary = summary.map_err(|error| error.to_string())?;
    parse(&summary.json).map_err(|error| error.to_string())
}
