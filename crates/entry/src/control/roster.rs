//! The actor that follows which backend servers are there.

use core::time::Duration;
use std::sync::Arc;

use actix::{Actor, ActorFutureExt as _, AsyncContext as _, Context, WrapFuture as _};
use platform::list::{Instance, State};
use tokio::sync::watch;

use crate::{
    metrics::Metrics,
    view::{Members, Server, Servers},
};

/// Follows the platform's list.
pub struct Roster {
    /// Where to publish the entry instances.
    pub members: watch::Sender<Members>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// The platform.
    pub platform: platform::Http,
    /// How often to read the list.
    pub poll: Duration,
    /// Where to publish the servers.
    pub servers: watch::Sender<Servers>,
}

impl Actor for Roster {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        self.read(context);
    }
}

impl Roster {
    fn read(&self, context: &mut Context<Self>) {
        let platform = self.platform.clone();
        let reading = async move { platform.instances().await };
        let done = reading.into_actor(self).map(|list, actor, context| {
            match list {
                Ok(list) => actor.publish(list),
                Err(_) => actor
                    .metrics
                    .platform_failures
                    .with_label_values(&["list"])
                    .inc(),
            }
            context.run_later(actor.poll, |actor, context| actor.read(context));
        });
        context.spawn(done);
    }

    fn publish(&self, list: Vec<Instance>) {
        let mut servers: Vec<_> = list
            .into_iter()
            .filter(|instance| instance.pool.as_str() != "entry")
            .map(server)
            .collect();
        servers.sort();
        self.servers.send_if_modified(|known| {
            if **known == servers {
                return false;
            }
            log::info!("backend servers known: {}", servers.len());
            *known = Arc::new(servers);
            true
        });
    }
}

fn server(instance: Instance) -> Server {
    Server {
        pool: instance.pool,
        incarnation: instance.incarnation,
        domain: instance.domain,
        address: instance.address,
        leaving: instance.state == State::Leaving,
    }
}
