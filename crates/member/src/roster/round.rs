//! Rounds of exchanges within the failure domain, and notices that do not wait for a round.

use core::time::Duration;

use base::{Incarnation, Name, Tick};
use rand::seq::IndexedRandom;

use super::{Roster, earlier};
use crate::{
    action::Action,
    event::Context,
    fact::{Fact, Id},
    peers::Peer,
    summary::Summary,
};

/// Origins unheard for this long are no longer compared.
const COUNTED: Duration = Duration::from_secs(30);
/// Rows of origins unheard for this long are forgotten.
const KEPT: Duration = Duration::from_secs(300);
/// Leaving marks that go with one exchange.
const REPEATED: usize = 8;
/// One exchange in this many goes to any instance, heard or not, so that a healed partition is found.
const STRAY: u32 = 8;
/// The same while there are instances that were named lately and never heard.
const STRAY_NEW: u32 = 2;
/// How long an instance that was never heard counts as new.
const NEW: Duration = Duration::from_secs(20);

impl Roster {
    /// Does whatever is due.
    pub(super) fn tick(&mut self, context: &mut Context<'_>) -> Vec<Action> {
        let now = context.now;
        self.table.sweep(earlier(now, COUNTED), earlier(now, KEPT));
        self.marks
            .remove_unnamed(earlier(now, self.config.mark_retention));
        self.peers.forget(earlier(now, self.config.mark_retention));
        let ended = self
            .servers
            .ended(now, &self.marks, self.config.server_timeout);
        self.drop(&ended);
        let members = self.members(now);
        let mut actions = self.duties(context, &members);
        actions.extend(self.reads(now, &members));
        self.seal(context, &members);
        actions.extend(self.bridges(context, &members));
        actions.extend(self.round(context));
        actions
    }

    /// Starts the exchanges of a round when it is due.
    fn round(&mut self, context: &mut Context<'_>) -> Vec<Action> {
        if context.now < self.next.round {
            return Vec::new();
        }
        let eighths = 7 + context.rng.next_u32() % 3;
        self.next.round = context.now + self.config.round_interval / 8 * eighths;
        let targets: Vec<Name> = (0..self.config.fanout)
            .filter_map(|_| self.target(context))
            .collect();
        let mut summary = self.table.request(self.agreed);
        summary.leaving = self.recent(context.now);
        let exchange = |address| Action::Exchange {
            address,
            summary: summary.clone(),
        };
        targets.into_iter().map(exchange).collect()
    }

    /// Chooses a peer: as a rule one that is heard, now and then one that is not.
    fn target(&self, context: &mut Context<'_>) -> Option<Name> {
        let heard: Vec<&Peer> = self.near(context.now).collect();
        let all = self.peers.iter();
        let near: Vec<&Peer> = all
            .filter(|peer| peer.instance.domain == self.own.domain)
            .collect();
        let new =
            |peer: &&Peer| context.now - peer.since < NEW && self.table.origin(peer.id).is_none();
        let share = if near.iter().any(new) {
            STRAY_NEW
        } else {
            STRAY
        };
        let heard_none = heard.is_empty();
        let stray = heard_none || context.rng.next_u32().is_multiple_of(share);
        let pick = if stray { near } else { heard };
        let peer = pick.choose(&mut *context.rng);
        if peer.is_none() || heard_none && context.rng.next_u32().is_multiple_of(STRAY_NEW) {
            let seed = self.seeds.choose(&mut *context.rng);
            return seed
                .cloned()
                .or_else(|| Some(peer?.instance.address.clone()));
        }
        Some(peer?.instance.address.clone())
    }

    /// Answers an exchange.
    pub(super) fn answer(&self, now: Tick, request: &Summary) -> Summary {
        let domain = |fact: &Fact| matches!(fact, Fact::Domain(_));
        if request.facts.iter().any(domain) {
            return self.abroad(now);
        }
        if request.origins_digest == 0 {
            return Summary::default();
        }
        let mut answer = self.table.answer(request);
        answer.leaving = self.recent(now);
        answer
    }

    /// Returns the leaving marks that go with every exchange, so that a lost notice tally one round.
    fn recent(&self, now: Tick) -> Vec<Incarnation> {
        self.marks
            .recent(earlier(now, self.config.mark_repeat_period), REPEATED)
    }

    /// Notes whether the sender knows the same origins, which saves spelling them out.
    pub(super) fn compare(&mut self, summary: &Summary) {
        if summary.origins_digest != 0 {
            self.agreed = summary.origins_digest == self.table.roster();
        }
    }

    /// Sends news to every peer of the failure domain at once.
    pub(super) fn notify(&self, now: Tick, news: &Summary) -> Vec<Action> {
        let notify = |peer: &Peer| Action::Exchange {
            address: peer.instance.address.clone(),
            summary: self.signed(news),
        };
        self.near(now).map(notify).collect()
    }

    /// Returns a summary with this instance as its sender.
    pub(super) fn signed(&self, news: &Summary) -> Summary {
        Summary {
            sender: Id::from_incarnation(&self.own.incarnation),
            ..news.clone()
        }
    }
}
