//! Gossip rounds within the failure domain, and notices that do not wait for a round.

use core::time::Duration;

use base::{Incarnation, Name, Tick};
use rand::seq::IndexedRandom;

use super::{Roster, saturating_sub};
use crate::{
    action::Action,
    event::Context,
    fact::{Fact, Id},
    peers::Peer,
    summary::Summary,
};

/// Origins not heard from for this long are no longer compared.
const COMPARE_TIMEOUT: Duration = Duration::from_secs(30);
/// Rows of origins not heard from for this long are removed.
const ROW_RETENTION: Duration = Duration::from_secs(300);
/// The largest number of leaving marks in one exchange.
const MAX_REPEATED_MARKS: usize = 8;
/// One exchange in this many goes to any instance, heard or not, so that the end of a partition is noticed.
const PROBE_ONE_IN: u32 = 8;
/// One exchange in this many goes to any instance while some instances are new and were never heard from.
const PROBE_NEW_ONE_IN: u32 = 2;
/// The time after its first mention during which an instance that was never heard from counts as new.
const NEW_PEER_PERIOD: Duration = Duration::from_secs(20);

impl Roster {
    /// Carries out all periodic tasks that are due.
    pub(super) fn handle_tick(&mut self, context: &mut Context<'_>) -> Vec<Action> {
        let now = context.now;
        self.table.prune(
            saturating_sub(now, COMPARE_TIMEOUT),
            saturating_sub(now, ROW_RETENTION),
        );
        self.marks
            .remove_unnamed(saturating_sub(now, self.config.mark_retention));
        self.peers
            .remove_unnamed(saturating_sub(now, self.config.mark_retention));
        let ended = self
            .servers
            .remove_ended(now, &self.marks, self.config.server_timeout);
        self.withdraw_servers(&ended);
        let members = self.members(now);
        let mut actions = self.poll_servers(context, &members);
        actions.extend(self.read_list(now, &members));
        self.publish_summary(context, &members);
        actions.extend(self.exchange_with_domains(context, &members));
        actions.extend(self.start_round(context));
        actions
    }

    /// Starts the exchanges of a round when it is due.
    fn start_round(&mut self, context: &mut Context<'_>) -> Vec<Action> {
        if context.now < self.next_due.round {
            return Vec::new();
        }
        let eighths = 7 + context.rng.next_u32() % 3;
        self.next_due.round = context.now + self.config.round_interval / 8 * eighths;
        let targets: Vec<Name> = (0..self.config.fanout)
            .filter_map(|_| self.choose_target(context))
            .collect();
        let mut summary = self.table.request(self.has_same_origins);
        summary.leaving = self.recent_marks(context.now);
        let exchange = |address| Action::Exchange {
            address,
            summary: summary.clone(),
        };
        targets.into_iter().map(exchange).collect()
    }

    /// Chooses the address of a peer: usually one that was heard from recently, sometimes any other.
    fn choose_target(&self, context: &mut Context<'_>) -> Option<Name> {
        let heard: Vec<&Peer> = self.heard_peers(context.now).collect();
        let all = self.peers.iter();
        let domain_peers: Vec<&Peer> = all
            .filter(|peer| peer.instance.domain == self.own.domain)
            .collect();
        let is_new = |peer: &&Peer| {
            context.now - peer.first_named < NEW_PEER_PERIOD && self.table.origin(peer.id).is_none()
        };
        let one_in = if domain_peers.iter().any(is_new) {
            PROBE_NEW_ONE_IN
        } else {
            PROBE_ONE_IN
        };
        let has_no_heard_peer = heard.is_empty();
        let is_probe = has_no_heard_peer || context.rng.next_u32().is_multiple_of(one_in);
        let candidates = if is_probe { domain_peers } else { heard };
        let peer = candidates.choose(&mut *context.rng);
        if peer.is_none()
            || has_no_heard_peer && context.rng.next_u32().is_multiple_of(PROBE_NEW_ONE_IN)
        {
            let seed = self.seeds.choose(&mut *context.rng);
            return seed
                .cloned()
                .or_else(|| Some(peer?.instance.address.clone()));
        }
        Some(peer?.instance.address.clone())
    }

    /// Builds the answer to an exchange.
    pub(super) fn answer(&self, now: Tick, request: &Summary) -> Summary {
        let domain = |fact: &Fact| matches!(fact, Fact::Domain(_));
        if request.facts.iter().any(domain) {
            return self.domain_summary(now);
        }
        if request.origins_digest == 0 {
            return Summary::default();
        }
        let mut answer = self.table.answer(request);
        answer.leaving = self.recent_marks(now);
        answer
    }

    /// Returns the leaving marks to repeat in every exchange, so that a lost notice delays them by one round.
    fn recent_marks(&self, now: Tick) -> Vec<Incarnation> {
        self.marks.recent(
            saturating_sub(now, self.config.mark_repeat_period),
            MAX_REPEATED_MARKS,
        )
    }

    /// Records whether the sender knows the same origins, so that requests need not list their ids.
    pub(super) fn compare_origins(&mut self, summary: &Summary) {
        if summary.origins_digest != 0 {
            self.has_same_origins = summary.origins_digest == self.table.origins_digest();
        }
    }

    /// Sends news to every peer of the failure domain at once.
    pub(super) fn notify(&self, now: Tick, news: &Summary) -> Vec<Action> {
        let notify = |peer: &Peer| Action::Exchange {
            address: peer.instance.address.clone(),
            summary: self.with_sender(news),
        };
        self.heard_peers(now).map(notify).collect()
    }

    /// Returns a summary with this instance as its sender.
    pub(super) fn with_sender(&self, news: &Summary) -> Summary {
        Summary {
            sender: Id::from_incarnation(&self.own.incarnation),
            ..news.clone()
        }
    }
}
