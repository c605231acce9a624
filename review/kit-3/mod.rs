//! Stand-ins of the platform's store, of runners and of clients, and instances as separate processes.
//! Standard library only; every address is a loopback address.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

pub const PROGRAM: &str = "target/release/limpetstep-platform";

/// A request, with header names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn read(reader: &mut impl BufRead) -> Option<Self> {
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
        request.headers = read_headers(reader)?;
        let length = request.header("content-length").parse().unwrap_or(0);
        request.body = vec![0; length];
        reader.read_exact(&mut request.body).ok()?;
        Some(request)
    }
}

fn read_headers(reader: &mut impl BufRead) -> Option<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Some(headers);
        };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

/// Serves each connection on its own thread. `answer` returns whether the connection stays open.
pub fn serve(
    address: &str,
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
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(request) = Request::read(&mut reader) {
                    if !answer(&request, &mut writer) {
                        return;
                    }
                }
            });
        }
    });
    address
}

pub fn response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// The platform's store: a log with topics of one partition each.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    topics: Arc<Mutex<Topics>>,
    era: Arc<AtomicU64>,
}

pub type Topics = BTreeMap<String, Vec<Vec<u8>>>;

impl Store {
    pub fn open() -> Self {
        let topics: Arc<Mutex<Topics>> = Arc::default();
        let era = Arc::new(AtomicU64::new(1));
        let (shared, current) = (topics.clone(), era.clone());
        let address = serve("127.0.0.1:0", move |request, writer| {
            // The store answers within 4 ms.
            thread::sleep(Duration::from_millis(1));
            writer.write_all(&answer_store(&shared, &current, request)).is_ok()
        });
        Self { address, topics, era }
    }

    /// Opens another address of the store, at which entries name other addresses in place of the given ones.
    pub fn view(&self, addresses: Vec<(SocketAddr, SocketAddr)>) -> SocketAddr {
        let (shared, current) = (self.topics.clone(), self.era.clone());
        let replace = move |topics: Topics| -> Topics {
            let replace_in = |record: Vec<u8>| match String::from_utf8(record) {
                Ok(text) => addresses
                    .iter()
                    .fold(text, |text, (own, other)| text.replace(&format!("\"{own}\""), &format!("\"{other}\"")))
                    .into_bytes(),
                Err(error) => error.into_bytes(),
            };
            let rewritten = topics.into_iter().map(|(topic, records)| match topic.as_str() {
                "keyed.servers" => (topic, records.into_iter().map(replace_in).collect()),
                _ => (topic, records),
            });
            rewritten.collect()
        };
        serve("127.0.0.1:0", move |request, writer| {
            thread::sleep(Duration::from_millis(1));
            if !request.path.contains("topic=keyed.servers") {
                return writer.write_all(&answer_store(&shared, &current, request)).is_ok();
            }
            // Reads of servers wait here for new records, as they are answered from a copy.
            let field = |name: &str| {
                let mut pairs = request.path.split(['?', '&']).filter_map(|pair| pair.split_once('='));
                pairs.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse::<u64>().ok())
            };
            let until = Instant::now() + Duration::from_millis(field("waitMs").unwrap_or(0));
            let count = || shared.lock().unwrap().get("keyed.servers").map_or(0, Vec::len) as u64;
            while count() <= field("from").unwrap_or(0) && Instant::now() < until {
                thread::sleep(Duration::from_millis(3));
            }
            let copy = Mutex::new(replace(shared.lock().unwrap().clone()));
            let request = Request { path: request.path.replace("waitMs=", "waited="), ..request.clone() };
            writer.write_all(&answer_store(&copy, &current, &request)).is_ok()
        })
    }

    /// Appends a record with a key, as the operator or a runner does. An empty value deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        self.topics.lock().unwrap().entry(topic.to_owned()).or_default().push(record);
    }

    pub fn copy(&self) -> Topics {
        self.topics.lock().unwrap().clone()
    }

    /// Comes back from an older copy: what was written since is lost, and the era rises.
    pub fn restore(&self, copy: Topics) {
        let mut topics = self.topics.lock().unwrap();
        *topics = copy;
        self.era.fetch_add(1, Ordering::SeqCst);
    }

    pub fn records(&self, topic: &str) -> Vec<Vec<u8>> {
        self.topics.lock().unwrap().get(topic).cloned().unwrap_or_default()
    }
}

fn answer_store(topics: &Mutex<Topics>, era: &AtomicU64, request: &Request) -> Vec<u8> {
    let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
    let field = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value).to_owned()
    };
    let topic = field("topic");
    let started_in = era.load(Ordering::SeqCst);
    let head = |era: &AtomicU64| format!("Store-Era: {}\r\n", era.load(Ordering::SeqCst));
    let records = || topics.lock().unwrap().get(&topic).cloned().unwrap_or_default();
    match path {
        "/v1/log-newest" => {
            let records = records();
            let mut newest: BTreeMap<String, (usize, Vec<u8>)> = BTreeMap::new();
            for (offset, record) in records.iter().enumerate() {
                let (key, value) = record[1..].split_at(usize::from(record[0]));
                newest.insert(String::from_utf8_lossy(key).into_owned(), (offset, value.to_vec()));
            }
            let items: Vec<_> = newest
                .iter()
                .filter(|(_, (_, value))| !value.is_empty())
                .map(|(key, (offset, value))| {
                    format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
                })
                .collect();
            let page = format!("{{\"items\":[{}],\"more\":false,\"end\":{}}}", items.join(","), records.len());
            response(200, &head(era), page.as_bytes())
        }
        "/v1/log-read" => {
            let from: usize = field("from").parse().unwrap_or(0);
            let wait = Duration::from_millis(field("waitMs").parse().unwrap_or(0));
            let until = Instant::now() + wait;
            while records().len() <= from && Instant::now() < until {
                thread::sleep(Duration::from_millis(3));
                if era.load(Ordering::SeqCst) != started_in {
                    break;
                }
            }
            let records = records();
            if records.len() < from {
                return response(410, &head(era), b"{\"first\":0}");
            }
            let mut body = (records.len() as u64).to_be_bytes().to_vec();
            body.extend(0_u64.to_be_bytes());
            for record in records.into_iter().skip(from) {
                body.extend((record.len() as u32).to_be_bytes());
                body.extend(record);
            }
            response(200, &head(era), &body)
        }
        "/v1/log-append" => {
            let mut rest = request.body.as_slice();
            let mut topics = topics.lock().unwrap();
            let records = topics.entry(topic.clone()).or_default();
            let first = records.len();
            while rest.len() >= 4 {
                let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                records.push(rest[4..4 + length].to_vec());
                rest = &rest[4 + length..];
            }
            let body = format!("{{\"offset\":{first},\"end\":{}}}", records.len());
            response(200, &head(era), body.as_bytes())
        }
        _ => response(404, &head(era), b""),
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for at in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * at) & 63) as usize];
            text.push(if at <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

/// The entry of a runner in the store.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub version: String,
    pub slots: u32,
    pub state: String,
    pub born: u64,
    pub sequence: u64,
}

impl Entry {
    pub fn write(&mut self, store: &Store) {
        self.sequence += 1;
        let Self { id, service, address, zone, version, slots, state, born, sequence } = self;
        let value = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"{version}\",\
             \"slots\":{slots},\"state\":\"{state}\",\"coldLeftMs\":0,\"sequence\":{sequence},\"born\":{born}}}"
        );
        store.put("keyed.servers", id, &value);
    }
}

/// An instance in a separate process, at a loopback address of its own.
pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_file(&self.settings);
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_file(&self.log);
        }
    }
}

impl Instance {
    pub fn start(number: u32, zone: &str, store: SocketAddr, extra: &str) -> Self {
        let process = std::process::id();
        let ip = format!("127.{}.{}.{number}", 1 + process / 250 % 200, process % 250);
        let folder = std::env::temp_dir();
        let settings = folder.join(format!("limpetstep-review-{process}-{number}.conf"));
        let log = folder.join(format!("limpetstep-review-{process}-{number}.log"));
        let text = format!(
            "node=front-{zone}-{number}\nrole=entry\nmachineClass=front\nserves=front\nip={ip}\nzone={zone}\nregion=r\n\
             listen.front={ip}:8600\nlisten.readiness={ip}:8601\ninternalPorts=7740,7755\nbootstrap=true\n\
             limits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\nlimits.fileDescriptors=4200\n\
             discovery=platform\nheartbeatMs=1200\nbounds.reuseAfterS=2\nbounds.stabilityWindowMs=3000\n\
             bounds.drainMs=2000\nbounds.graceS=8\nbounds.lostMs=200\nbounds.configMs=2000\n\
             bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.budgetSlack=52\nbounds.recoverS=12\n\
             platform.address={store}\nplatform.form=log\n{extra}"
        );
        fs::write(&settings, text).expect("a writable folder");
        let child = spawn(&settings, &log);
        Self {
            name: format!("front-{zone}-{number}"),
            front: format!("{ip}:8600").parse().unwrap(),
            readiness: format!("{ip}:8601").parse().unwrap(),
            settings,
            log,
            child,
        }
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.readiness) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let text = "GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let mut answer = [0; 12];
        stream.write_all(text.as_bytes()).is_ok()
            && stream.read_exact(&mut answer).is_ok()
            && &answer == b"HTTP/1.1 200"
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), &id]).status();
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(&self.settings, &self.log);
    }

    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> Child {
    let output = fs::OpenOptions::new().create(true).append(true).open(log).expect("a log file");
    Command::new(PROGRAM)
        .env("LIMPETSTEP_NODE_FILE", settings)
        .stdout(Stdio::from(output.try_clone().expect("a file")))
        .stderr(Stdio::from(output))
        .spawn()
        .unwrap_or_else(|error| {
            println!("{PROGRAM} can't be started: {error}");
            std::process::exit(2)
        })
}

/// Waits until a condition holds; the case can't run otherwise.
pub fn wait_until(what: &str, limit: Duration, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + limit;
    while !holds() {
        if Instant::now() > deadline {
            println!("could not run: {what} in {limit:?}");
            std::process::exit(2);
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// An answer, as far as it came.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 without a whole head.
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    pub is_complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The whole events.
    pub fn events(&self) -> Vec<String> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
        whole.split("\n\n").filter(|event| !event.is_empty()).map(str::to_owned).collect()
    }
}

/// Sends raw bytes on a new connection and reads the answer to its end. `on_part` is called after each part of the body and
/// returns whether to read on.
pub fn exchange(
    address: SocketAddr,
    text: &[u8],
    limit: Duration,
    mut on_part: impl FnMut(&Answer) -> bool,
) -> Answer {
    let mut answer = Answer::default();
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else { return answer };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(limit));
    if stream.write_all(text).is_err() {
        return answer;
    }
    read_answer(&mut BufReader::new(stream), &mut answer, &mut on_part);
    answer
}

/// Reads an answer from an open connection.
pub fn read_answer(
    reader: &mut impl BufRead,
    answer: &mut Answer,
    on_part: &mut impl FnMut(&Answer) -> bool,
) -> Option<()> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    answer.headers = read_headers(reader)?;
    answer.status = status;
    if answer.header("transfer-encoding") == "chunked" {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let length = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk).ok()?;
            if length == 0 {
                answer.is_complete = true;
                return Some(());
            }
            answer.body.extend(&chunk[..length]);
            if !on_part(answer) {
                return Some(());
            }
        }
    }
    let length = answer.header("content-length").parse().ok()?;
    answer.body = vec![0; length];
    reader.read_exact(&mut answer.body).ok()?;
    answer.is_complete = true;
    Some(())
}

/// What is written to `record.txt`.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn open() -> Self {
        Self { start: Instant::now(), lines: Arc::default() }
    }

    pub fn add(&self, line: impl Into<String>) {
        self.lines.lock().unwrap().push((self.start.elapsed(), line.into()));
    }

    pub fn write(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort();
        let text: String = lines.iter().map(|(at, line)| format!("{:8.3} {line}\n", at.as_secs_f64())).collect();
        fs::write(path, text).expect("a writable folder");
    }
}

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

pub type Flag = Arc<AtomicBool>;

/// What a runner does with a request: `is_alive` tells whether the run that got the request still lasts. Returns whether the
/// connection stays open.
pub type Work = dyn Fn(&Run, &Request, &mut TcpStream) -> bool + Send + Sync;

/// One run of a runner's process.
#[derive(Clone)]
pub struct Run {
    pub id: String,
    pub version: String,
    pub born: u64,
    number: u64,
    current: Arc<AtomicU64>,
    /// The requests that it works on.
    pub running: Arc<AtomicU64>,
}

impl Run {
    /// Returns whether the process still runs.
    pub fn is_alive(&self) -> bool {
        self.current.load(Ordering::SeqCst) == self.number
    }

    /// Works for a time, or until the process ends; returns whether it still runs.
    pub fn work(&self, time: Duration) -> bool {
        let end = Instant::now() + time;
        while self.is_alive() && Instant::now() < end {
            thread::sleep(Duration::from_millis(2).min(end.saturating_duration_since(Instant::now())));
        }
        self.is_alive()
    }
}

/// A runner whose process can end and start again at the same address. While it is down, connections to it are refused.
pub struct Runner {
    pub entry: Arc<Mutex<Entry>>,
    run: Arc<Mutex<Run>>,
    current: Arc<AtomicU64>,
    is_up: Flag,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Runner {
    pub fn start(id: &str, service: &str, zone: &str, version: &str, born: u64, slots: u32, work: Arc<Work>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let current = Arc::new(AtomicU64::new(1));
        let run = Run {
            id: id.to_owned(), version: version.to_owned(), born, number: 1, current: current.clone(), running: Arc::default(),
        };
        let entry = Entry {
            id: id.to_owned(), service: service.to_owned(), address, zone: zone.to_owned(), version: version.to_owned(),
            slots, state: "ready".to_owned(), born, sequence: 0,
        };
        let runner = Self {
            entry: Arc::new(Mutex::new(entry)),
            run: Arc::new(Mutex::new(run)),
            current,
            is_up: Arc::new(AtomicBool::new(true)),
            open: Arc::default(),
        };
        let (run, is_up, open) = (runner.run.clone(), runner.is_up.clone(), runner.open.clone());
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                match (is_up.load(Ordering::SeqCst), &listener) {
                    (false, Some(_)) => listener = None,
                    (true, None) => listener = TcpListener::bind(address).ok(),
                    _ => {}
                }
                let accepted = listener.as_ref().and_then(|listener| {
                    listener.set_nonblocking(true).ok()?;
                    listener.accept().ok()
                });
                let Some((stream, _)) = accepted else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let (run, work) = (run.lock().unwrap().clone(), work.clone());
                let Ok(kept) = stream.try_clone() else { continue };
                open.lock().unwrap().push(kept);
                thread::spawn(move || {
                    let Ok(mut writer) = stream.try_clone() else { return };
                    let mut reader = BufReader::new(stream);
                    while run.is_alive() {
                        let Some(request) = Request::read(&mut reader) else { break };
                        if !work(&run, &request, &mut writer) {
                            break;
                        }
                    }
                    let _ = writer.shutdown(std::net::Shutdown::Both);
                });
            }
        });
        runner
    }

    /// Returns the number of requests that the current run works on.
    pub fn running(&self) -> u64 {
        self.run.lock().unwrap().running.load(Ordering::SeqCst)
    }

    /// Ends the process: its connections close, and new ones are refused.
    pub fn end(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        self.current.fetch_add(1, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(5));
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Starts the process again under its id and at its address. Its entry is written by `write`.
    pub fn begin(&self, version: &str, born: u64) {
        let mut run = self.run.lock().unwrap();
        run.number = self.current.fetch_add(1, Ordering::SeqCst) + 1;
        run.version = version.to_owned();
        run.born = born;
        run.running = Arc::default();
        let mut entry = self.entry.lock().unwrap();
        (entry.version, entry.born, entry.sequence) = (version.to_owned(), born, 0);
        drop((run, entry));
        self.is_up.store(true, Ordering::SeqCst);
    }

    /// Writes the entry; a process that is down writes none.
    pub fn write(&self, store: &Store) {
        if self.is_up.load(Ordering::SeqCst) {
            self.entry.lock().unwrap().write(store);
        }
    }
}

/// A way to a runner that can be cut: open connections are closed then, and new ones refused.
pub struct Link {
    pub address: SocketAddr,
    is_up: Flag,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    pub fn open(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (is_up, open) = (Flag::new(AtomicBool::new(true)), Arc::<Mutex<Vec<TcpStream>>>::default());
        let (up, kept) = (is_up.clone(), open.clone());
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                match (up.load(Ordering::SeqCst), &listener) {
                    (false, Some(_)) => listener = None,
                    (true, None) => listener = TcpListener::bind(address).ok(),
                    _ => {}
                }
                let accepted = listener.as_ref().and_then(|listener| {
                    listener.set_nonblocking(true).ok()?;
                    listener.accept().ok()
                });
                let Some((near, _)) = accepted else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let Ok(far) = TcpStream::connect(target) else { continue };
                let _ = (near.set_nonblocking(false), near.set_nodelay(true), far.set_nodelay(true));
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else { continue };
                    thread::spawn(move || {
                        let _ = std::io::copy(&mut from, &mut to);
                        let _ = (from.shutdown(std::net::Shutdown::Both), to.shutdown(std::net::Shutdown::Both));
                    });
                }
                kept.lock().unwrap().extend([near, far]);
            }
        });
        Self { address, is_up, open }
    }

    pub fn set(&self, is_up: bool) {
        self.is_up.store(is_up, Ordering::SeqCst);
        if !is_up {
            thread::sleep(Duration::from_millis(3));
            for stream in self.open.lock().unwrap().drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        }
    }
}

/// Answers what runners answer besides requests, and calls that name another runner; `None` for a request.
pub fn answer_common(run: &Run, request: &Request, headers: &str, writer: &mut TcpStream) -> Option<bool> {
    let expected = request.header("x-expect-instance");
    let id = &run.id;
    let bytes = if !expected.is_empty() && expected != id.as_str() {
        response(421, &format!("X-Instance-Id: {id}\r\n"), b"")
    } else if request.path == "/v1/report" {
        let report = format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"sequence\":0,\
             \"waiting\":0,\"running\":{},\"kvUsed\":0,\"kvTotal\":371889,\"handles\":0,\"born\":{}}}",
            run.running.load(Ordering::SeqCst), run.born
        );
        response(200, &format!("Content-Type: application/json\r\n{headers}"), report.as_bytes())
    } else if request.path == "/healthz" {
        response(200, &format!("X-Instance-Id: {id}\r\n{headers}"), b"")
    } else {
        return None;
    };
    Some(writer.write_all(&bytes).is_ok())
}

/// The configuration of one streaming route to one service of engines.
pub fn stream_config(slots: u32) -> String {
    let route = "{\"name\":\"r-1\",\"hostname\":\"h.example\",\"pathPrefix\":\"/stream/\",\"kind\":\"streaming\",\"timeoutMs\":8000,\
         \"targetLatencyMs\":1000,\"priority\":0,\"service\":\"svc\",\"maxAttempts\":2,\"stages\":[],\"public\":false,\
         \"sessionAffinity\":true,\"resumable\":true,\"gapAimMs\":200}";
    format!(
        "{{\"version\":7,\"routes\":[{route}],\"services\":[{{\"name\":\"svc\",\"healthCheckPath\":\"/healthz\",\"maxConnections\":360,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":{slots},\"kvCapacity\":371889,\"kvBytes\":163840,\"linkMbps\":740000.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"t\",\"apiKeys\":[\"key-1\"],\"priority\":1}}]}}"
    )
}

/// A request for a stream, with further headers.
pub fn stream_request(id: &str, left: Duration, number: usize, more: &str) -> String {
    format!(
        "POST /stream/p HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\nX-Model: m\r\n\
         X-Token-Usage: 600,60\r\nX-Prompt-Prefix: 5c1e07a2:300,{number:x}:300\r\nAuthorization: Token key-1\r\n\
         {more}Content-Length: 4\r\n\r\nbody",
        left.as_millis()
    )
}
