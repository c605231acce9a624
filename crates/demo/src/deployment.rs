//! One deployment: platform, backend servers and entry instances.

use core::{net::SocketAddr, time::Duration};
use std::error::Error;

use base::{Digest, Name};
use bundle::{Bundle, content, sign::Key};
use entry::settings::{Flags, Settings};
use fake::{configs, server};

/// The number of entry instances of a deployment.
const INSTANCES: usize = 2;

/// The number of backend servers of each pool.
const SERVERS_PER_POOL: usize = 2;

/// The longest wait for every instance to have the bundle in force.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// The interval at which readiness is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running deployment.
pub(crate) struct Deployment {
    bundle: Bundle,
    instances: Vec<entry::Handle>,
    servers: Vec<(Name, fake::Handle)>,
}

impl Deployment {
    /// Starts everything that a bundle needs, and rolls the bundle out.
    pub(crate) async fn start(text: &str) -> Result<Self, Box<dyn Error>> {
        let bundle = Bundle::from_toml(text)?;
        let platform = fake::platform::bind(configs::platform::Config::default())?;
        let mut servers = Vec::new();
        for pool in &bundle.pools {
            for number in 0..SERVERS_PER_POOL {
                let server = start_server(pool, number, &platform.url())?;
                servers.push((pool.name.clone(), server));
            }
        }
        let (author, steward) = (Key::example("author"), Key::example("steward"));
        let roots = [author.public(), steward.public()];
        let mut instances = Vec::new();
        for number in 0..INSTANCES {
            let instance = start_instance(&bundle, number, &platform.url(), &roots)?;
            register_instance(&instance, &platform.url()).await?;
            instances.push(instance);
        }
        let log = platform::Http::open(&platform.url(), Duration::from_secs(1));
        ctl::roll_out_all(&log, text, &author, &steward).await?;
        let deployment = Self {
            bundle,
            instances,
            servers,
        };
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Returns the name of the deployment.
    pub(crate) fn name(&self) -> &Name {
        &self.bundle.name
    }

    /// Returns the address of the first entry instance.
    pub(crate) fn address(&self) -> SocketAddr {
        self.instances[0].address()
    }

    /// Returns the address of each entry instance.
    pub(crate) fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.instances.iter().map(entry::Handle::address)
    }

    /// Returns the URLs of a pool's backend servers.
    pub(crate) fn server_urls(&self, pool: &str) -> impl Iterator<Item = String> {
        self.servers
            .iter()
            .filter(move |(name, _)| name.as_str() == pool)
            .map(|(_, server)| server.url())
    }

    /// Stops the entry instances in order, then the backend servers.
    pub(crate) async fn stop(self) {
        for instance in &self.instances {
            instance.stop();
        }
        for instance in self.instances {
            // `join` blocks, and the stand-ins on this thread have to keep running meanwhile.
            let joined = actix_web::rt::task::spawn_blocking(move || instance.join());
            let _ended = joined.await;
        }
        for (_, server) in self.servers {
            server.stop().await;
        }
    }

    async fn wait_until_ready(&self) -> Result<(), Box<dyn Error>> {
        let waiting = async {
            for address in self.addresses() {
                while !is_ready(address).await {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
        };
        tokio::time::timeout(READY_TIMEOUT, waiting).await?;
        Ok(())
    }
}

fn start_server(
    pool: &content::Pool,
    number: usize,
    platform: &str,
) -> Result<fake::Handle, Box<dyn Error>> {
    let config = configs::server::Config {
        name: Name::from(format!("{}-{number}", pool.name)),
        pool: pool.name.clone(),
        domain: Name::from("local"),
        platform: Some(platform.to_owned()),
        kind: server_kind(pool.kind),
        ..configs::server::Config::default()
    };
    Ok(server::bind(config)?)
}

const fn server_kind(kind: content::Kind) -> server::Kind {
    match kind {
        content::Kind::Encode => server::Kind::Encode,
        content::Kind::Generate => server::Kind::Generate,
        content::Kind::Rerank => server::Kind::Rerank,
        content::Kind::Retrieve => server::Kind::Retrieve,
        content::Kind::Service => server::Kind::Service,
    }
}

fn start_instance(
    bundle: &Bundle,
    number: usize,
    platform: &str,
    roots: &[Digest],
) -> Result<entry::Handle, Box<dyn Error>> {
    let keys: Vec<_> = roots.iter().map(Digest::to_string).collect();
    let flags = Flags {
        address: Some("127.0.0.1:0".into()),
        drain_ms: Some("0".into()),
        log_level: Some("warn".into()),
        name: Some(format!("{}-entry-{number}", bundle.name)),
        platform: Some(platform.to_owned()),
        poll_ms: Some("50".into()),
        root_keys: Some(keys.join(",")),
        ..Flags::default()
    };
    let settings = Settings::check(&flags, |_| None).map_err(|faults| faults[0].to_string())?;
    Ok(entry::spawn(settings)?)
}

/// Adds an instance to the platform's list, which a real platform does by itself.
async fn register_instance(instance: &entry::Handle, platform: &str) -> Result<(), Box<dyn Error>> {
    let incarnation = instance.incarnation().clone();
    let url = format!("{platform}/instances/{}", incarnation.name);
    let entry = platform::Instance {
        incarnation,
        pool: Name::from("entry"),
        domain: Name::from("local"),
        address: instance.peer_address(),
        state: platform::list::State::Live,
    };
    awc::Client::default().put(url).send_json(&entry).await?;
    Ok(())
}

async fn is_ready(address: SocketAddr) -> bool {
    let url = format!("http://{address}/ready");
    let response = awc::Client::default().get(url).send().await;
    response.is_ok_and(|response| response.status().is_success())
}
