//! The gathering of a failure domain's parts for a report, only where one asks.

use std::{
    rc::Rc,
    sync::{Arc, Mutex, PoisonError},
};

use actix::{Handler, Message, ResponseFuture};
use base::Stamp;
use burn::{
    Book,
    part::{Domain, Part, Parts, Silent},
};
use futures_util::future::join_all;
use wire::Moment;

use super::Roster;
use crate::control::peers::parse;

/// Asks each instance of the failure domain for its part, and sums those that come.
#[derive(Message)]
#[rtype(result = "Domain")]
pub(crate) struct Gather {
    /// The time of the report.
    pub(crate) at: Stamp,
    /// The own book.
    pub(crate) book: Arc<Mutex<Book>>,
}

/// Condenses a book for a report at a time.
pub(crate) fn condense(book: &Mutex<Book>, at: Stamp) -> Part {
    book.lock().unwrap_or_else(PoisonError::into_inner).part(at)
}

impl Handler<Gather> for Roster {
    type Result = ResponseFuture<Domain>;

    fn handle(&mut self, message: Gather, _: &mut Self::Context) -> Self::Result {
        let Gather { at, book } = message;
        let view = self.core.view(self.clock.tick());
        let own = self.own.domain.clone();
        // Those not heard lately are asked too: they are named, or their part is there after all.
        let peers = view.peers.into_iter().map(|peer| peer.instance);
        let near = peers.filter(|instance| instance.domain == own);
        let asked: Vec<_> = near
            .map(|instance| {
                let line = self.lines.to(&instance.address);
                async move { (instance.address.clone(), ask(line, at).await) }
            })
            .collect();
        Box::pin(async move {
            let mut parts = Parts::default();
            let mut silent = Vec::new();
            parts.take(condense(&book, at));
            for (address, answer) in join_all(asked).await {
                match answer {
                    Ok(part) => parts.take(part),
                    Err(reason) => silent.push(Silent { address, reason }),
                }
            }
            let part = parts.sum(own, &burn::Config::default());
            Domain { part, silent }
        })
    }
}

async fn ask(line: Option<Rc<peer::Client>>, at: Stamp) -> Result<Part, String> {
    let line = line.ok_or("not an address")?;
    let moment = Moment { at: at.as_millis() };
    let part = line.condense(moment).await;
    let part = part.map_err(|error| error.to_string())?;
    parse(&part.json).map_err(|error| error.to_string())
}
