//! Stand-ins of the platform's store, of servers and of callers, and instances that run as processes.

#![allow(dead_code, reason = "no case uses all of it")]

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// The program that the deploy file runs, from the root of the repository.
const PROGRAM: &str = "target/release/limpetstep-platform";

pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|error| error.into_inner())
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Returns whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// What was sent, answered and run, in the order of its times.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Opens `record.txt` in the folder that the first argument names.
    pub fn open() -> Self {
        let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
        let file =
            File::create(PathBuf::from(folder).join("record.txt")).expect("a writable folder");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn ms(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = lock(&self.file);
        let line = format!("{:>6} ms  {}\n", self.ms(), text.as_ref());
        file.write_all(line.as_bytes()).expect("a writable folder");
    }
}

/// Ends the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn finish(record: &Record, code: i32, verdict: &str) -> ! {
    record.line(format!("verdict: {verdict}"));
    println!("{verdict}");
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(folder_path());
    }
    std::process::exit(code)
}

/// A request as it was received, with header names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    pub fn id(&self) -> &str {
        self.header("x-request-id")
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.path.split_once('?')?;
        let pair = query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        pair.map(str::to_owned)
    }

    pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Self> {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let mut words = line.split_whitespace();
        let mut request = Self {
            method: words.next()?.to_owned(),
            path: words.next()?.to_owned(),
            ..Self::default()
        };
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let Some((name, value)) = line.trim().split_once(':') else {
                break;
            };
            request
                .headers
                .push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let length = request.header("content-length").parse().unwrap_or(0);
        request.body = vec![0; length];
        reader.read_exact(&mut request.body).ok()?;
        Some(request)
    }
}

/// Serves each connection on its own thread. `answer` writes a response, and returns whether the connection stays open.
pub fn serve(
    address: SocketAddr,
    answer: impl Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind(address).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Some(request) = Request::read(&mut reader) {
                    if !answer(&request, &mut writer) {
                        let _ = writer.shutdown(std::net::Shutdown::Both);
                        return;
                    }
                }
            });
        }
    });
    address
}

pub fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

/// Returns a response with a length.
pub fn response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} Status\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Returns a successful answer of a server to a request.
pub fn sealed(request: &Request, headers: &str, body: &[u8]) -> Vec<u8> {
    let id = request.id();
    response(
        200,
        &format!("X-Request-Id: {id}\r\nX-Response-Seal: seal-{id}\r\n{headers}"),
        body,
    )
}

/// How the store treats a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treatment {
    Serve,
    /// 503, and nothing is done.
    Busy,
    /// No answer, and nothing is done.
    Silent,
    /// It is done, and the answer is lost.
    LoseAnswer,
}

#[derive(Clone, Default)]
struct Topics(BTreeMap<String, Vec<Vec<u8>>>);

struct StoreState {
    topics: Topics,
    era: u64,
}

type Treat = Box<dyn Fn(&Request) -> Treatment + Send>;

/// The platform's store, of which the first partition of each topic is served.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
    treat: Arc<Mutex<Option<Treat>>>,
    /// The speed of the link in bytes a second, or 0 for any.
    speed: Arc<AtomicUsize>,
}

/// The largest page of records, in bytes (`maxKb`).
const PAGE_BYTES: usize = 1_024 * 1_024;

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0_u32;
        for at in 0..3 {
            number = number << 8 | u32::from(group.get(at).copied().unwrap_or(0));
        }
        for at in 0..4 {
            let digit = BASE64[(number >> (18 - 6 * at) & 63) as usize];
            text.push(if at <= group.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}

impl Store {
    pub fn open() -> Self {
        let state = StoreState {
            topics: Topics::default(),
            era: 0,
        };
        Self::serve(Arc::new((Mutex::new(state), Condvar::new())))
    }

    /// Returns the same store at another address, where its calls may be treated in another way.
    pub fn front(&self) -> Self {
        Self::serve(self.state.clone())
    }

    fn serve(state: Arc<(Mutex<StoreState>, Condvar)>) -> Self {
        let treat: Arc<Mutex<Option<Treat>>> = Arc::default();
        let (shared, treated) = (state.clone(), treat.clone());
        let speed = Arc::new(AtomicUsize::new(0));
        let link = speed.clone();
        let address = serve(loopback(), move |request, writer| {
            let treatment = match &*lock(&treated) {
                Some(treat) => treat(request),
                None => Treatment::Serve,
            };
            match treatment {
                Treatment::Busy => return writer.write_all(&response(503, "", b"")).is_ok(),
                Treatment::Silent => {
                    thread::sleep(Duration::from_secs(60));
                    return false;
                }
                Treatment::Serve | Treatment::LoseAnswer => {}
            }
            let answer = answer_store(&shared, request);
            if treatment == Treatment::LoseAnswer {
                thread::sleep(Duration::from_secs(60));
                return false;
            }
            write_paced(writer, &answer, link.load(Ordering::Relaxed))
        });
        Self {
            address,
            state,
            treat,
            speed,
        }
    }

    /// Limits the speed of each answer at this address, as that of a machine's link.
    pub fn limit_speed(&self, mbit_per_s: usize) {
        self.speed.store(mbit_per_s * 125_000, Ordering::Relaxed);
    }

    /// Returns the bytes of a topic's records.
    pub fn size(&self, topic: &str) -> usize {
        let state = lock(&self.state.0);
        state.topics.0.get(topic).map_or(0, |records| {
            records.iter().map(|record| record.len() + 4).sum()
        })
    }

    pub fn treat(&self, treat: impl Fn(&Request) -> Treatment + Send + 'static) {
        *lock(&self.treat) = Some(Box::new(treat));
    }

    /// Writes a record with a key; without a value the key is dropped.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let (state, changed) = &*self.state;
        let record = [&[key.len() as u8], key.as_bytes(), value].concat();
        lock(state)
            .topics
            .0
            .entry(topic.to_owned())
            .or_default()
            .push(record);
        changed.notify_all();
    }

    /// Returns a copy of all records.
    pub fn copy(&self) -> impl Clone + use<> {
        lock(&self.state.0).topics.clone()
    }

    /// Returns the newest values of a topic by key.
    pub fn newest(&self, topic: &str) -> Vec<(String, Vec<u8>)> {
        let state = lock(&self.state.0);
        let Some(records) = state.topics.0.get(topic) else {
            return Vec::new();
        };
        newest(records)
            .into_iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (_, value))| (key, value))
            .collect()
    }

    pub fn start_era(&self, era: u64) {
        lock(&self.state.0).era = era;
    }
}

/// Writes bytes at a speed, or at once if it is 0.
fn write_paced(writer: &mut TcpStream, bytes: &[u8], bytes_per_s: usize) -> bool {
    const PART: usize = 8 * 1_024;
    if bytes_per_s == 0 {
        return writer.write_all(bytes).is_ok();
    }
    let start = Instant::now();
    for (number, part) in bytes.chunks(PART).enumerate() {
        if writer.write_all(part).is_err() {
            return false;
        }
        let due = Duration::from_secs_f64(
            ((number + 1) * PART).min(bytes.len()) as f64 / bytes_per_s as f64,
        );
        thread::sleep(due.saturating_sub(start.elapsed()));
    }
    true
}

fn newest(records: &[Vec<u8>]) -> BTreeMap<String, (usize, Vec<u8>)> {
    let mut keys = BTreeMap::new();
    for (offset, record) in records.iter().enumerate() {
        let end = 1 + usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..end]).into_owned();
        keys.insert(key, (offset, record[end..].to_vec()));
    }
    keys
}

fn answer_store(shared: &(Mutex<StoreState>, Condvar), request: &Request) -> Vec<u8> {
    let (state, changed) = shared;
    let topic = request.query("topic").unwrap_or_default();
    let mut state = lock(state);
    let era = format!("Store-Era: {}\r\n", state.era);
    let json = format!("{era}Content-Type: application/json\r\n");
    match request.path.split('?').next().unwrap_or_default() {
        "/v1/log-append" => {
            let records = state.topics.0.entry(topic).or_default();
            let first = records.len();
            let mut rest = &request.body[..];
            while rest.len() >= 4 {
                let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                records.push(rest[4..4 + length].to_vec());
                rest = &rest[4 + length..];
            }
            let end = records.len();
            changed.notify_all();
            response(
                200,
                &json,
                format!("{{\"offset\":{first},\"end\":{end}}}").as_bytes(),
            )
        }
        "/v1/log-read" => {
            let from: usize = request
                .query("from")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            let wait = request
                .query("waitMs")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(wait);
            loop {
                let Some(records) = state.topics.0.get(&topic) else {
                    return response(404, &json, b"{}");
                };
                let left = until.saturating_duration_since(Instant::now());
                if from < records.len() || left.is_zero() {
                    let mut body = (records.len() as u64).to_be_bytes().to_vec();
                    body.extend_from_slice(&0_u64.to_be_bytes());
                    for record in records.iter().skip(from) {
                        if body.len() + record.len() > PAGE_BYTES {
                            break;
                        }
                        body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                        body.extend_from_slice(record);
                    }
                    return response(200, &era, &body);
                }
                state = match changed.wait_timeout(state, left) {
                    Ok((state, _)) => state,
                    Err(error) => error.into_inner().0,
                };
            }
        }
        "/v1/log-newest" => {
            let Some(records) = state.topics.0.get(&topic) else {
                return response(404, &json, b"{}");
            };
            let end = records.len();
            let items: Vec<_> = newest(records)
                .into_iter()
                .filter(|(_, (_, value))| !value.is_empty())
                .map(|(key, (offset, value))| {
                    let value = base64(&value);
                    format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                })
                .collect();
            let items = items.join(",");
            let body = format!("{{\"items\":[{items}],\"more\":false,\"end\":{end}}}");
            response(200, &json, body.as_bytes())
        }
        _ => response(404, &json, b"{}"),
    }
}

/// A server that registers in the store, and what it got.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub version: String,
    pub born: u64,
}

impl Server {
    /// Opens a server of a service, which answers questions for its state by itself.
    pub fn open(
        id: &str,
        service: &str,
        zone: &str,
        answer: impl Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Self {
        let born = 1_765_000_000_000;
        let address = serve(loopback(), move |request, writer| {
            if request.path == "/v1/report" {
                let body = format!("{{\"born\":{born},\"waiting\":0,\"running\":0}}");
                return writer
                    .write_all(&response(200, "", body.as_bytes()))
                    .is_ok();
            }
            answer(request, writer)
        });
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            version: "v1".to_owned(),
            born,
        }
    }

    /// Writes the server's entry into the store.
    pub fn register(&self, store: &Store, state: &str, sequence: u64) {
        let Self {
            id,
            service,
            zone,
            address,
            version,
            born,
        } = self;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"{version}\",\
             \"slots\":8,\"state\":\"{state}\",\"coldLeftMs\":0,\"sequence\":{sequence},\"born\":{born}}}"
        );
        store.put("keyed.servers", id, entry.as_bytes());
    }

    /// Writes the entry again and again, as servers do.
    pub fn keep_registered(&self, store: &Store) {
        self.register(store, "ready", 1);
        let (server, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            for sequence in 2.. {
                sleep_ms(1_200);
                server.register(&store, "ready", sequence);
            }
        });
    }
}

/// Returns a route. `kind` is also the prefix of its path.
pub fn route(name: &str, kind: &str, service: &str, more: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"hostname\":\"h.example\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\
         \"priority\":1,\"service\":\"{service}\",\"public\":false,{more}}}"
    )
}

/// Returns a configuration with one client account, which holds the keys.
pub fn config(version: u64, routes: &[String], services: &[String], keys: &[&str]) -> String {
    let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"press\",\"apiKeys\":[{}],\"priority\":1}}]}}",
        routes.join(","),
        services.join(","),
        keys.join(",")
    )
}

pub fn plain_service(name: &str, max_connections: u32) -> String {
    format!(
        "{{\"name\":\"{name}\",\"healthCheckPath\":\"/healthz\",\"maxConnections\":{max_connections},\
         \"protocol\":\"h1\",\"tls\":false}}"
    )
}

/// An instance, which runs as a process at a loopback address of its own.
pub struct Instance {
    pub node: String,
    pub ip: String,
    pub front: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Instance {
    /// Starts the first instances of a deployment, with settings like those of a small one.
    pub fn start_all(folder: &Folder, store: SocketAddr, zones: &[&str]) -> Vec<Self> {
        let starts = zones.iter().enumerate();
        starts
            .map(|(at, zone)| Self::start(folder, store, at + 1, zone, ""))
            .collect()
    }

    pub fn start(
        folder: &Folder,
        store: SocketAddr,
        number: usize,
        zone: &str,
        more: &str,
    ) -> Self {
        let process = std::process::id();
        let ip = format!("127.{}.{}.{number}", 1 + process / 250 % 200, process % 250);
        let node = format!("front-{number}");
        let text = format!(
            "node={node}\nrole=entry\nmachineClass=front\nserves=front\nip={ip}\nzone={zone}\nregion=r\nzones.a=r\nzones.b=r\n\
             zones.c=r\nlisten.front={ip}:8625\nlisten.readiness={ip}:8621\ninternalPorts=7740,7755\nseeds=\nbootstrap=true\n\
             limits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\nlimits.fileDescriptors=4200\nlimits.linkMbps=1000.0\n\
             discovery=platform\nentry=vip\nheartbeatMs=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,stages\n\
             faultTolerance.machines=2\nfaultTolerance.zones=1\nbounds.seedLagS=3\nbounds.reuseAfterS=2\n\
             bounds.stabilityWindowMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS=8\n\
             bounds.lostMs=200\nbounds.configMs=2000\nbounds.downgradeMs=250\nbounds.outerMs=5000\nbounds.strictRevoke=false\n\
             bounds.revokeMs=5000\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.budgetSlack=52\n\
             bounds.recoverS=12\nbounds.passMs=120\nbounds.againS=10\nplatform.address={store}\nplatform.form=log\n\
             platform.writesPerS=400\nplatform.readsPerS=2000\nplatform.parts=8\nplatform.keep_s=300\n{more}"
        );
        let settings = folder.path.join(format!("{node}.conf"));
        fs::write(&settings, text).expect("a writable folder");
        let log = folder.path.join(format!("{node}.log"));
        Self {
            child: spawn(&settings, &log),
            node,
            front: format!("{ip}:8625").parse().expect("an address"),
            readiness: format!("{ip}:8621").parse().expect("an address"),
            ip,
            settings,
            log,
        }
    }

    /// Starts the process again after it has ended. The settings say then that the deployment has run before.
    pub fn restart(&mut self) {
        let settings = fs::read_to_string(&self.settings).unwrap_or_default();
        let settings = settings.replace("bootstrap=true", "bootstrap=false");
        fs::write(&self.settings, settings).expect("a writable folder");
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = spawn(&self.settings, &self.log);
    }

    pub fn signal(&self, signal: i32) {
        let pid = i32::try_from(self.child.id()).expect("a process id");
        // SAFETY: the process is a child that has not been waited for.
        unsafe { kill(pid, signal) };
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /v1/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
        exchange(self.readiness, request.as_bytes(), 1_000).status == 200
    }

    /// Waits until the instance is ready, and returns whether it is.
    pub fn wait_ready(&self, ms: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(ms);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            sleep_ms(20);
        }
        false
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> Child {
    let log = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(log)
        .expect("a writable folder");
    let started = Command::new(PROGRAM)
        .env("LIMPETSTEP_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a file"))
        .stderr(log)
        .spawn();
    match started {
        Ok(child) => child,
        Err(error) => {
            println!("{PROGRAM} can't be started: {error}");
            std::process::exit(2)
        }
    }
}

fn folder_path() -> PathBuf {
    std::env::temp_dir().join(format!("limpetstep-review-{}", std::process::id()))
}

/// A temporary folder for settings and logs, which [`finish`] removes unless KEEP is set.
pub struct Folder {
    pub path: PathBuf,
}

impl Folder {
    pub fn open() -> Self {
        let path = folder_path();
        fs::create_dir_all(&path).expect("a writable folder");
        Self { path }
    }
}

/// What a caller got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The status, or 0 without an answer.
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body is as long as its framing says.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().skip(1);
        let mut pairs = lines.filter_map(|line| line.split_once(':'));
        let (_, value) = pairs.find(|(known, _)| known.eq_ignore_ascii_case(name))?;
        Some(value.trim())
    }
}

/// A caller's connection.
pub struct Connection {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, timeout_ms: u64) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        let _ = stream.set_nodelay(true);
        stream
            .set_read_timeout(Some(Duration::from_millis(timeout_ms)))
            .ok()?;
        let reader = BufReader::new(stream.try_clone().ok()?);
        Some(Self { stream, reader })
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    pub const fn reader_mut(&mut self) -> &mut BufReader<TcpStream> {
        &mut self.reader
    }

    /// Reads one answer.
    pub fn read(&mut self) -> Answer {
        let mut answer = Answer::default();
        loop {
            let mut line = String::new();
            match self.reader.read_line(&mut line) {
                Ok(0) | Err(_) => return answer,
                Ok(_) => {}
            }
            if line == "\r\n" {
                if answer.head.starts_with("HTTP/1.1 1") {
                    answer.head.clear();
                    continue;
                }
                break;
            }
            answer.head.push_str(&line);
        }
        answer.status = answer
            .head
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let is_chunked = answer
            .header("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"));
        let length = answer
            .header("content-length")
            .and_then(|text| text.parse::<usize>().ok());
        if is_chunked {
            loop {
                let mut line = String::new();
                match self.reader.read_line(&mut line) {
                    Ok(0) | Err(_) => return answer,
                    Ok(_) => {}
                }
                let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                    return answer;
                };
                let mut chunk = vec![0; size + 2];
                if self.reader.read_exact(&mut chunk).is_err() {
                    return answer;
                }
                answer.body.extend_from_slice(&chunk[..size]);
                if size == 0 {
                    answer.is_whole = true;
                    return answer;
                }
            }
        }
        let mut body = vec![0; length.unwrap_or(0)];
        let mut read = 0;
        while read < body.len() {
            match self.reader.read(&mut body[read..]) {
                Ok(0) | Err(_) => break,
                Ok(count) => read += count,
            }
        }
        answer.is_whole = read == body.len();
        body.truncate(read);
        answer.body = body;
        answer
    }
}

/// Sends bytes on a new connection and returns the answer.
pub fn exchange(address: SocketAddr, bytes: &[u8], timeout_ms: u64) -> Answer {
    let Some(mut connection) = Connection::open(address, timeout_ms) else {
        return Answer::default();
    };
    if !connection.write(bytes) {
        return Answer::default();
    }
    connection.read()
}

/// Returns the bytes of a caller's request.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    more: &str,
    body: &[u8],
) -> Vec<u8> {
    let length = match body.len() {
        0 if method == "GET" => String::new(),
        length => format!("Content-Length: {length}\r\n"),
    };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
         Authorization: Token key-1\r\n{more}{length}\r\n"
    );
    [head.as_bytes(), body].concat()
}
