//! A small fleet of real processes around an in-process stand-in.

use std::fs;
use std::io::Read;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use galenaloft_caller::CallerClient;
use galenaloft_caller::CallerError;
use galenaloft_caller::FILE_PATH;
use galenaloft_caller::wire::Answer;
use galenaloft_caller::wire::Receipt;
use galenaloft_caller::wire::SearchRequest;
use galenaloft_caller::wire::SubmitRequest;
use galenaloft_caller::wire::TicketRequest;
use galenaloft_http::Connection;
use galenaloft_operator::OperatorClient;
use galenaloft_operator::wire::HostStatus;
use galenaloft_standin::Options;
use hyper::Method;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

/// Longest wait for an event that must come.
const PATIENCE: Duration = Duration::from_secs(20);

/// How often an awaited event is looked for.
const LOOK: Duration = Duration::from_millis(20);

const SHEET: &str = "\
customer: fleet
ranks:
  urgent: { order: 1, floor: 40% }
kinds:
  look: { operation: search, collection: entries, rank: urgent, worth: 1, deadline: 500ms, coverage-floor: 50% }
  fee: { operation: file, collection: fees, rank: urgent, worth: WORTH, deadline: 1s }
";

pub fn sheet(worth: u32) -> String {
    SHEET.replace("WORTH", &worth.to_string())
}

/// Processes on the ports from `port` on, ended when dropped.
pub struct Fleet {
    port: u16,
    dir: PathBuf,
    /// What the settings of the hosts have under `limits`.
    limits: String,
    hosts: Vec<Option<Child>>,
}

impl Fleet {
    /// Starts the stand-in and `count` hosts, and waits until all are ready and know each other.
    pub async fn start(port: u16, count: usize) -> Self {
        Self::start_with_limits(port, count, "read-timeout: 300ms, connections: 64").await
    }

    /// Starts a fleet whose hosts have the limits given.
    pub async fn start_with_limits(port: u16, count: usize, limits: &str) -> Self {
        let options = Options::from_texts("scene", &scene(port, count), &sheet(1)).unwrap();
        tokio::spawn(galenaloft_standin::play(options));
        let dir = std::env::temp_dir().join(format!("galenaloft-{port}-{}", std::process::id()));
        fs::create_dir_all(&dir).unwrap();
        let hosts = (0..count).map(|_| None).collect();
        let mut fleet = Self { port, dir, limits: limits.to_owned(), hosts };
        fleet.until("the stand-in is up", async |fleet| fleet.stats().await.is_some()).await;
        for host in 0..count {
            fleet.start_host(host);
        }
        for host in 0..count {
            fleet.wait_for_peers(host, count - 1).await;
        }
        fleet
    }

    pub fn start_host(&mut self, host: usize) {
        let settings = self.dir.join(format!("h{host}.yaml"));
        let text = format!(
            "host: h{host}\nzone: z{}\nlisten: {{ callers: \"{}\", peers: \"{}\", operators: \"{}\" }}\n\
             platform: \"127.0.0.1:{}\"\nlimits: {{ {} }}\n\
             drain: {{ balancer-lag: 200ms, grace: 12s }}\n",
            host % 3,
            self.callers(host),
            self.address(host, 20),
            self.operators(host),
            self.port,
            self.limits
        );
        fs::write(&settings, text).unwrap();
        let log = fs::File::create(self.log(host)).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_galenaloftd"))
            .arg("--settings")
            .arg(settings)
            .stderr(Stdio::from(log))
            .spawn()
            .unwrap();
        self.hosts[host] = Some(child);
    }

    pub fn kill(&mut self, host: usize) {
        let mut child = self.hosts[host].take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Returns the process id of a running host.
    // One of the test binaries that share this file has no use for it.
    #[allow(dead_code)]
    pub fn id(&self, host: usize) -> u32 {
        self.hosts[host].as_ref().unwrap().id()
    }

    /// Sends a signal by name to one host.
    pub fn signal(&self, host: usize, name: &str) {
        let pid = self.hosts[host].as_ref().unwrap().id().to_string();
        assert!(Command::new("kill").args(["-s", name, &pid]).status().unwrap().success());
    }

    pub async fn exit_of(&mut self, host: usize) -> ExitStatus {
        let limit = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.hosts[host].as_mut().unwrap().try_wait().unwrap() {
                self.hosts[host] = None;
                return status;
            }
            assert!(Instant::now() < limit, "host {host} does not exit");
            sleep(LOOK).await;
        }
    }

    /// Waits until a condition holds.
    pub async fn until(&self, what: &str, condition: impl AsyncFn(&Self) -> bool) {
        let limit = Instant::now() + PATIENCE;
        while !condition(self).await {
            assert!(Instant::now() < limit, "it never came that {what}");
            sleep(LOOK).await;
        }
    }

    pub async fn wait_for_peers(&self, host: usize, count: usize) {
        let knows = async |fleet: &Self| {
            let status = fleet.status(host).await;
            status.is_some_and(|status| {
                let alive = status.peers.iter().filter(|peer| peer.state == "alive").count();
                status.ready && alive == count
            })
        };
        self.until(&format!("host {host} is ready with {count} peers"), knows).await;
    }

    pub async fn status(&self, host: usize) -> Option<HostStatus> {
        let reading = async { OperatorClient::connect(self.operators(host)).await?.status().await };
        tokio::time::timeout(Duration::from_secs(1), reading).await.ok()?.ok()
    }

    pub async fn metrics(&self, host: usize) -> String {
        let mut connection = Connection::connect(self.operators(host), PATIENCE).await.unwrap();
        let reply = connection.get("/metrics", "").await.unwrap();
        String::from_utf8(reply.body().to_vec()).unwrap()
    }

    pub async fn search(&self, host: usize) -> Result<Answer, CallerError> {
        let req = SearchRequest { kind: "look".to_owned(), query: "c".to_owned(), limit: 5 };
        CallerClient::connect(self.callers(host)).await?.search(&req).await
    }

    pub async fn ticket(&self, host: usize) -> String {
        let mut client = CallerClient::connect(self.callers(host)).await.unwrap();
        client.ticket(&TicketRequest { kind: "fee".to_owned() }).await.unwrap().ticket
    }

    pub async fn file(&self, host: usize, ticket: &str) -> Result<Receipt, CallerError> {
        let req = SubmitRequest {
            kind: "fee".to_owned(),
            ticket: ticket.to_owned(),
            key: "fees-000001".to_owned(),
            body: body_of(ticket),
        };
        CallerClient::connect(self.callers(host)).await?.submit(FILE_PATH, &req).await
    }

    /// Returns how often the submission of a ticket ran.
    pub async fn runs(&self, ticket: &str) -> u64 {
        let submission = format!("fees|fees-000001|{}", body_of(ticket));
        let path = format!("/standin/runs?submission={submission}");
        let runs = self.standin(Method::GET, &path, &Value::Null).await.unwrap();
        serde_json::from_str::<Value>(&runs).unwrap()["count"].as_u64().unwrap()
    }

    /// Returns how many attempts a searcher received.
    pub async fn received(&self, searcher: &str) -> u64 {
        let stats: Value = serde_json::from_str(&self.stats().await.unwrap()).unwrap();
        stats["received_by_searcher"][searcher].as_u64().unwrap()
    }

    pub async fn fault(&self, searcher: &str, fault: &str) {
        let body = json!({"searcher": searcher, "fault": fault, "factor": 100});
        self.switch("searcher", &body).await;
    }

    pub async fn publish(&self, value: &str) {
        self.switch("publish", &json!({"key": "sheet", "value": value})).await;
    }

    pub async fn switch(&self, what: &str, body: &Value) {
        let done = self.standin(Method::POST, &format!("/standin/{what}"), body).await;
        assert!(done.is_some(), "cannot switch {what}: {body}");
    }

    pub fn logged(&self, host: usize, event: &str) -> bool {
        let mut text = String::new();
        fs::File::open(self.log(host)).unwrap().read_to_string(&mut text).unwrap();
        text.contains(&format!("event={event}"))
    }

    pub fn callers(&self, host: usize) -> SocketAddr {
        self.address(host, 10)
    }

    async fn stats(&self) -> Option<String> {
        self.standin(Method::GET, "/standin/stats", &Value::Null).await
    }

    async fn standin(&self, method: Method, path: &str, body: &Value) -> Option<String> {
        let address = SocketAddr::from(([127, 0, 0, 1], self.port));
        let mut connection = Connection::connect(address, PATIENCE).await.ok()?;
        let body = Bytes::from(body.to_string());
        let reply = connection.send(method, path, "application/json", body).await.ok()?;
        let text = String::from_utf8(reply.body().to_vec()).ok()?;
        reply.status().is_success().then_some(text)
    }

    fn operators(&self, host: usize) -> SocketAddr {
        self.address(host, 30)
    }

    fn address(&self, host: usize, offset: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.port + offset + host as u16))
    }

    fn log(&self, host: usize) -> PathBuf {
        self.dir.join(format!("h{host}.log"))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.hosts.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn body_of(ticket: &str) -> String {
    ticket.replace('.', "-")
}

fn scene(port: u16, hosts: usize) -> String {
    let mut text = format!(
        "seed: 1\nzones: [z0, z1, z2]\nport: {port}\nsheet: none\nfirms: [north, south]\n\
         collections:\n  - {{ name: entries, theme: clouds, documents: 60, shards: 6, searchers: 6, \
         replicas: 1, slots: 2, connections: 25, connect-cost: 1ms, service: 1ms }}\n  - {{ name: \
         fees, theme: clouds, documents: 6, shards: 1, searchers: 2, replicas: 2, slots: 2, \
         connections: 25, connect-cost: 1ms, service: 1ms }}\nentry-hosts:\n"
    );
    for host in 0..hosts as u16 {
        let peers = port + 20 + host;
        text +=
            &format!("  - {{ id: h{host}, zone: z{}, peers: \"127.0.0.1:{peers}\" }}\n", host % 3);
    }
    text
}
