//! Starts the processes of a scene and waits until they serve.

use core::time::Duration;
use std::{fs, path::Path};

use awc::Client;
use base::{Digest, Incarnation, Stamp};
use bundle::{Bundle, Record, STREAM, sign::Key};
use platform::{Http, Log as _};
use serde_json::json;

use super::{Builder, Entry, SCENE_LOCK, Scene, Server};
use crate::{
    caller::{Caller, Request, now},
    expect,
    link::Link,
    poll,
    process::Process,
    view::View,
};

/// The time within which every entry instance must serve.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// The timeout of one call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);

/// The interval at which entry instances poll the platform, in milliseconds.
const POLL_MS: u64 = 100;

impl Builder {
    /// Starts the scene, rolls out the example's bundle and waits until every instance serves.
    ///
    /// # Panics
    ///
    /// Panics if a process does not start or does not serve in time.
    pub async fn start(self) -> Scene {
        let lock = SCENE_LOCK.lock().await;
        let mut text = example(&self.example) + &self.extra_bundle;
        if self.unlimited {
            text = without_limits(&text);
        }
        let bundle = Bundle::from_toml(&text).expect("the example is a bundle");
        let platform = self.platform();
        roll_out(&platform.url, &text).await;
        let domains: Vec<String> = (1..=self.domains)
            .map(|at| format!("domain-{at}"))
            .collect();
        let mut scene = Scene {
            bundle,
            entries: Vec::new(),
            links: Vec::new(),
            platform,
            views: Vec::new(),
            servers: Vec::new(),
            builder: self,
            _lock: lock,
        };
        for domain in &domains {
            scene.start_link(domain).await;
            scene.start_servers(domain);
            for number in 1..=scene.builder.entries {
                scene.start_entry(domain, &format!("{domain}-entry-{number}"));
            }
        }
        scene.wait_ready().await;
        scene
    }

    fn platform(&self) -> Server {
        let process = Process::spawn("limpetstep-fake", &["platform".to_owned()]);
        let url = format!("http://{}", process.wait_for_word("listening "));
        Server {
            name: "platform".to_owned(),
            pool: String::new(),
            process,
            url,
        }
    }
}

impl Scene {
    async fn start_link(&mut self, domain: &str) {
        let address = self.platform.process.wait_for_word("listening ");
        let mut address = address.parse().expect("an address");
        if self.builder.partitionable {
            let view = View::open(address, domain).expect("a free port");
            address = view.address();
            self.views.push(view);
        }
        self.links
            .push(Link::open(address).await.expect("a free port"));
    }

    /// Starts one more entry instance and returns its index.
    ///
    /// It reaches the platform over the link of its domain.
    pub fn start_entry(&mut self, domain: &str, name: &str) -> usize {
        let roots = ["author", "steward"].map(|role| Key::example(role).public().to_string());
        let args = [
            ("--address", "127.0.0.1:0".to_owned()),
            ("--peer-address", "127.0.0.1:0".to_owned()),
            ("--domain", domain.to_owned()),
            ("--name", name.to_owned()),
            ("--platform", self.link_of(domain).url()),
            ("--poll-ms", POLL_MS.to_string()),
            ("--drain-ms", self.builder.drain.as_millis().to_string()),
            (
                "--progress-ms",
                self.builder.progress.as_millis().to_string(),
            ),
            ("--root-keys", roots.join(",")),
            ("--peers", self.peers(domain)),
        ];
        let mut args = args.map(|(flag, value)| [flag.to_owned(), value]).concat();
        args.extend(self.builder.entry_args.iter().cloned());
        if let Some(age) = self.builder.carry {
            args.extend(["--carry-ms".to_owned(), age.as_millis().to_string()]);
        }
        let process = Process::spawn("limpetstep-entry", &args);
        let url = format!("http://{}", process.wait_for_word("listening "));
        self.list_entry(domain, &process);
        self.entries.push(Entry {
            name: name.to_owned(),
            domain: domain.to_owned(),
            process,
            url,
        });
        self.entries.len() - 1
    }

    /// Returns the peer addresses of the entry instances started so far.
    ///
    /// If domains can be cut off from each other, only those of the same domain are returned.
    fn peers(&self, domain: &str) -> String {
        let partitionable = self.builder.partitionable;
        let peers = self
            .entries
            .iter()
            .filter(|entry| !partitionable || entry.domain == domain)
            .map(|entry| entry.process.wait_for_word("peers "));
        peers.collect::<Vec<_>>().join(",")
    }

    /// Adds an entry instance to the platform's list, as a real platform does by itself.
    fn list_entry(&self, domain: &str, process: &Process) {
        let incarnation = process.wait_for_word("incarnation ");
        let (name, start) = incarnation.rsplit_once('@').expect("name and start");
        let start = Stamp::from_millis(start.parse().expect("a start"));
        let line = platform::Instance {
            incarnation: Incarnation::new(name, start),
            pool: "entry".into(),
            domain: domain.into(),
            address: process.wait_for_word("peers ").parse().expect("an address"),
            state: platform::list::State::Live,
        };
        let url = format!("{}/instances/{name}", self.platform.url);
        actix_web::rt::spawn(async move {
            // If the platform is down, the entry is added once it is back.
            poll::until(READY_TIMEOUT, async || {
                let put = Client::default().put(&url).send_json(&line).await;
                put.is_ok_and(|answer| answer.status().is_success())
                    .then_some(())
            })
            .await
        });
    }

    /// Starts one more backend server and returns its index.
    pub fn start_server(&mut self, domain: &str, pool: &str, name: &str) -> usize {
        let found = self.bundle.pool(pool).expect("a pool");
        let kind = expect::kind(found.kind).to_string();
        let args = [
            ("--name", name),
            ("--pool", pool),
            ("--domain", domain),
            ("--kind", kind.as_str()),
            ("--platform", self.platform.url.as_str()),
        ];
        let mut args = args
            .map(|(flag, value)| [flag.to_owned(), value.to_owned()])
            .concat();
        args.insert(0, "server".to_owned());
        if found.checks_fencing {
            args.push("--checks-fencing".to_owned());
        }
        for (wanted, more) in &self.builder.server_args {
            if wanted == pool {
                args.extend(more.iter().cloned());
            }
        }
        let process = Process::spawn("limpetstep-fake", &args);
        let url = format!("http://{}", process.wait_for_word("listening "));
        self.servers.push(Server {
            name: name.to_owned(),
            pool: pool.to_owned(),
            process,
            url,
        });
        self.servers.len() - 1
    }

    /// Rolls out a new version of the example, with one more pipeline of one stage.
    ///
    /// # Panics
    ///
    /// Panics if the version is not rolled out.
    pub async fn roll_out(&self, version: u64, pipeline: &str, pool: &str) {
        let text = self.version(version, pipeline, pool);
        roll_out(&self.platform.url, &text).await;
    }

    /// Publishes and signs off a new version of the example, with one more pipeline of one stage,
    /// and returns its digest.
    ///
    /// # Panics
    ///
    /// Panics if the version is not signed off.
    pub async fn propose(&self, version: u64, pipeline: &str, pool: &str) -> Digest {
        let text = self.version(version, pipeline, pool);
        let log = Http::open(&self.platform.url, PLATFORM_TIMEOUT);
        let (author, steward) = (Key::example("author"), Key::example("steward"));
        let session = ctl::Session {
            appender: "proc".into(),
            log: &log,
            roots: vec![author.public(), steward.public()],
            dry_run: false,
        };
        let published = ctl::publish(&session, pipeline, &text, &author).await;
        let digest = published.expect("the bundle is published").digest;
        let signed = ctl::sign_off(&session, digest, &steward).await;
        signed.expect("the bundle is signed off");
        digest
    }

    fn version(&self, version: u64, pipeline: &str, pool: &str) -> String {
        let text = example(&self.builder.example);
        let text = text.replace("\nversion = 1\n", &format!("\nversion = {version}\n"));
        let added = format!(
            "\n[[pipelines]]\nname = \"{pipeline}\"\ndeadline_ms = 5000\n\
             [[pipelines.stages]]\nname = \"status\"\npool = \"{pool}\"\n"
        );
        text + &added
    }

    /// Appends the bundle in force to the log again, as instances do from time to time.
    ///
    /// # Panics
    ///
    /// Panics if the log cannot be read or appended to.
    pub async fn carry(&self) {
        let log = Http::open(&self.platform.url, PLATFORM_TIMEOUT);
        let roots = ["author", "steward"].map(|role| Key::example(role).public());
        let view = ctl::View::read(&log, &roots)
            .await
            .expect("the log is read");
        let carry = view
            .projection
            .carry(now(), Duration::ZERO)
            .expect("a bundle in force");
        let record = Record::Carry(Box::new(carry)).to_json();
        log.append(STREAM, record).await.expect("an append");
    }

    /// Waits until every entry instance serves each pipeline without side effects.
    ///
    /// # Panics
    ///
    /// Panics if an instance does not serve in time.
    pub async fn wait_ready(&self) {
        for at in 0..self.entries.len() {
            self.wait_entry_ready(at).await;
        }
    }

    /// Waits until one entry instance serves each pipeline without side effects.
    ///
    /// # Panics
    ///
    /// Panics if the instance does not serve in time.
    pub async fn wait_entry_ready(&self, at: usize) {
        let entry = &self.entries[at];
        for pipeline in self.probes() {
            let caller = Caller::new(self.bundle.accounts[0].name.as_str());
            let request = Request::new(&pipeline, json!({ "probe": entry.name, "max_tokens": 1 }));
            let served = poll::until(READY_TIMEOUT, async || {
                let reply = caller.send(&entry.url, &request).await.ok()?;
                (reply.code() == 100).then_some(())
            });
            let lines = || entry.process.lines();
            assert!(served.await.is_some(), "{}: {:#?}", entry.name, lines());
        }
    }

    /// Returns the link of a domain, whose name ends in its number from 1.
    fn link_of(&self, domain: &str) -> &Link {
        let number = domain
            .rsplit('-')
            .next()
            .and_then(|number| number.parse().ok());
        let number: usize = number.expect("a numbered domain");
        &self.links[number - 1]
    }

    fn start_servers(&mut self, domain: &str) {
        let mut pools: Vec<String> = self
            .bundle
            .pools
            .iter()
            .map(|pool| pool.name.to_string())
            .collect();
        if let Some(wanted) = &self.builder.pools {
            pools.retain(|pool| wanted.contains(pool));
        }
        for pool in pools {
            for number in 1..=self.builder.servers {
                self.start_server(domain, &pool, &format!("{domain}-{pool}-{number}"));
            }
        }
    }

    /// Returns the idempotent pipelines that the scene's pools can serve.
    fn probes(&self) -> Vec<String> {
        let has = |pool: &base::Name| !self.pool(pool.as_str()).is_empty();
        let pipelines = self.bundle.pipelines.iter();
        pipelines
            .filter(|pipeline| pipeline.non_idempotent_stage().is_none() && !pipeline.deferred)
            .filter(|pipeline| pipeline.stages.iter().all(|stage| has(&stage.pool)))
            .map(|pipeline| pipeline.name.to_string())
            .collect()
    }
}

/// Publishes a bundle, signs it off and rolls it out.
async fn roll_out(platform: &str, text: &str) {
    let log = Http::open(platform, PLATFORM_TIMEOUT);
    let (author, steward) = (Key::example("author"), Key::example("steward"));
    let rolled_out = ctl::roll_out_all(&log, text, &author, &steward).await;
    rolled_out.expect("the bundle is rolled out");
}

/// Reads the bundle of an example.
fn example(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    fs::read_to_string(root.join(format!("examples/{name}.toml"))).expect("the example")
}

/// Raises the limits of every client account beyond what a test sends.
fn without_limits(text: &str) -> String {
    let lines = text.lines().map(|line| match line.split_once(" = ") {
        Some(("requests_per_second", _)) => "requests_per_second = 100000.0",
        Some(("burst_requests", _)) => "burst_requests = 100000",
        _ => line,
    });
    lines.collect::<Vec<_>>().join("\n")
}
